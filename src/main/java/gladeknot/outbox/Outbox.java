package gladeknot.outbox;

import gladeknot.json.Json;
import gladeknot.peer.PeerMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the controller's state machine wants sent: calls to other services, answers to requests and
 * messages to the other controllers. The state machine only fills it; the event loop carries it out
 * and brings the replies back. Not thread-safe: all of it is the event loop's.
 */
public final class Outbox {
  /** A request to another service; {@code address} is host:port. */
  public record Call(
      long id, String address, String method, String path, byte[] body, long timeoutMicros) {}

  /** The answer to a request; {@code retryAfterS} is 0 if it says nothing of a repetition. */
  public record Answer(long request, int status, byte[] body, int retryAfterS) {}

  /** What came back; status 0 says that nothing did, and the call may have been carried out. */
  public record Reply(int status, byte[] body) {
    /** The body as a JSON object; empty if it is none. */
    public Map<String, Object> object() {
      try {
        return Json.object(body);
      } catch (IOException e) {
        return Map.of();
      }
    }
  }

  /** Takes the reply to one call. */
  public interface ReplyHandler {
    /** The reply, or its absence; comes once for each call. */
    void onReply(Reply reply);
  }

  private final List<Call> calls = new ArrayList<>();
  private final List<Answer> answers = new ArrayList<>();
  private final List<PeerMessage> peerMessages = new ArrayList<>();
  private final Map<Long, ReplyHandler> replyHandlers = new HashMap<>();
  private CallObserver observer = CallObserver.NONE;
  private long nextId = 1;

  /** Lets an observer hear of every call from now on. */
  public void observe(CallObserver callObserver) {
    observer = callObserver;
  }

  /** Adds a call; the handler gets its reply, with status 0 if none came in time. */
  public void call(
      String address,
      String method,
      String path,
      Object body,
      long timeoutMicros,
      ReplyHandler handler) {
    long id = nextId++;
    replyHandlers.put(id, handler);
    byte[] bytes = body == null ? new byte[0] : Json.bytes(body);
    Call call = new Call(id, address, method, path, bytes, timeoutMicros);
    calls.add(call);
    observer.called(call);
  }

  /** Answers a request; the body is written as JSON. */
  public void answer(long request, int status, Object body) {
    answers.add(new Answer(request, status, Json.bytes(body), 0));
  }

  /** Refuses a request for now, and says after how many seconds to repeat it. */
  public void retryLater(long request, int status, String why, int retryAfterS) {
    answers.add(new Answer(request, status, Json.bytes(Json.of("error", why)), retryAfterS));
  }

  /** Hands a reply to the handler of its call; a second one is ignored. */
  public void reply(long callId, Reply reply) {
    ReplyHandler handler = replyHandlers.remove(callId);
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

  /** Sends a message to the other controllers; it may get lost. */
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
