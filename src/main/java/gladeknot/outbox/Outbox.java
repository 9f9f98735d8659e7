package gladeknot.outbox;

import gladeknot.json.Json;
import gladeknot.peer.PeerMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the core wants done: calls to other services and answers to requests. The core only fills
 * it; the event loop carries it out and brings the replies back.
 */
public final class Outbox {
  /** A request to another service; {@code address} is host:port. */
  public record Call(
      long id, String address, String method, String path, byte[] body, long timeoutMicros) {}

  /** The answer to a request that was handed to the core. */
  public record Answer(long request, int status, byte[] body, int retryAfterS) {}

  /** What came back; status 0 says that nothing did, and the call may have been carried out. */
  public record Reply(int status, byte[] body) {
    /** The body as a JSON object; empty if it is none. */
    public Map<String, Object> object() {
      try {
        return Json.object(body);
      } catch (java.io.IOException e) {
        return Map.of();
      }
    }
  }

  /** Takes the reply to one call. */
  public interface ReplyHandler {
    void onReply(Reply reply);
  }

  private final List<Call> calls = new ArrayList<>();
  private final List<Answer> answers = new ArrayList<>();
  private final List<PeerMessage> peerMessages = new ArrayList<>();
  private final Map<Long, ReplyHandler> waiting = new HashMap<>();
  private CallObserver observer = CallObserver.NONE;
  private long nextId = 1;

  /** Lets an observer hear of every call from now on. */
  public void observe(CallObserver callObserver) {
    observer = callObserver;
  }

  /** Adds a call; the handler gets its reply, with status 0 if none came in time. */
  public void call(
      String address, String method, String path, Object body, long timeoutMicros, ReplyHandler h) {
    long id = nextId++;
    waiting.put(id, h);
    byte[] bytes = body == null ? new byte[0] : Json.bytes(body);
    Call call = new Call(id, address, method, path, bytes, timeoutMicros);
    calls.add(call);
    observer.called(call);
  }

  public void answer(long request, int status, Object body) {
    answers.add(new Answer(request, status, Json.bytes(body), 0));
  }

  /** Refuses for now and says when to come back. */
  public void retryLater(long request, int status, String why, int retryAfterS) {
    answers.add(new Answer(request, status, Json.bytes(Json.of("error", why)), retryAfterS));
  }

  /** Hands a reply to the handler of its call; a second one is ignored. */
  public void reply(long callId, Reply reply) {
    ReplyHandler handler = waiting.remove(callId);
    if (handler != null) {
      observer.replied(callId, reply.status());
      handler.onReply(reply);
    }
  }

  /** The calls added since the last time, each returned once. */
  public List<Call> drainCalls() {
    List<Call> taken = List.copyOf(calls);
    calls.clear();
    return taken;
  }

  /** Tells the other controllers something; it may get lost. */
  public void sendToPeers(PeerMessage message) {
    peerMessages.add(message);
  }

  /** The messages to other controllers, each returned once. */
  public List<PeerMessage> drainPeerMessages() {
    List<PeerMessage> taken = List.copyOf(peerMessages);
    peerMessages.clear();
    return taken;
  }

  /** The answers to requests, each returned once. */
  public List<Answer> drainAnswers() {
    List<Answer> taken = List.copyOf(answers);
    answers.clear();
    return taken;
  }
}
