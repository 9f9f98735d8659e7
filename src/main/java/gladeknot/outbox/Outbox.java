package gladeknot.outbox;

import gladeknot.json.Json;
import gladeknot.peer.PeerMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The controller's outgoing calls to other services, answers to requests and messages to other
 * controllers. The state machine only adds them. The event loop sends them and delivers the
 * replies. Not thread-safe: must be used only on the event loop's thread.
 */
public final class Outbox {
  /** A request to another service; {@code address} has the form host:port. */
  public record Call(
      long id, String address, String method, String path, byte[] body, long timeoutMicros) {}

  /** The answer to a request; {@code retryAfterSeconds} is 0 if the answer asks for no retry. */
  public record Answer(long request, int status, byte[] body, int retryAfterSeconds) {}

  /**
   * The reply to a call. Status 0 means that there was no reply; the call may have been executed.
   */
  public record Reply(int status, byte[] body) {
    /** Returns the body as a JSON object, or an empty map if it is not an object. */
    public Map<String, Object> object() {
      try {
        return Json.object(body);
      } catch (IOException e) {
        return Map.of();
      }
    }
  }

  /** Handler of the reply to one call. */
  public interface ReplyHandler {
    /** Called once for each call, with status 0 if there was no reply. */
    void onReply(Reply reply);
  }

  private final List<Call> calls = new ArrayList<>();
  private final List<Answer> answers = new ArrayList<>();
  private final List<PeerMessage> peerMessages = new ArrayList<>();
  private final Map<Long, ReplyHandler> replyHandlers = new HashMap<>();
  private CallObserver observer = CallObserver.NONE;
  private long nextId = 1;

  /** Sets the observer of all calls from now on. */
  public void observe(CallObserver callObserver) {
    observer = callObserver;
  }

  /** Adds a call; the handler receives the reply, or status 0 if there is none in time. */
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

  /** Answers a request; the body is encoded as JSON. */
  public void answer(long request, int status, Object body) {
    answers.add(new Answer(request, status, Json.bytes(body), 0));
  }

  /** Refuses a request temporarily; the client should retry after the given number of seconds. */
  public void retryLater(long request, int status, String reason, int retryAfterSeconds) {
    answers.add(
        new Answer(request, status, Json.bytes(Json.of("error", reason)), retryAfterSeconds));
  }

  /** Passes a reply to the handler of its call; a second reply to a call is ignored. */
  public void reply(long callId, Reply reply) {
    ReplyHandler handler = replyHandlers.remove(callId);
    if (handler != null) {
      observer.replied(callId, reply.status());
      handler.onReply(reply);
    }
  }

  /** Drops the calls that are not sent yet, and ignores the replies to all others. */
  public void abandonCalls() {
    calls.clear();
    replyHandlers.clear();
  }

  /** Returns and removes the calls added since the last call of this method. */
  public List<Call> drainCalls() {
    List<Call> drained = List.copyOf(calls);
    calls.clear();
    return drained;
  }

  /** Sends a message to the other controllers; the message may be lost. */
  public void sendToPeers(PeerMessage message) {
    peerMessages.add(message);
  }

  /** Returns and removes the messages to other controllers. */
  public List<PeerMessage> drainPeerMessages() {
    List<PeerMessage> drained = List.copyOf(peerMessages);
    peerMessages.clear();
    return drained;
  }

  /** Returns and removes the answers to requests. */
  public List<Answer> drainAnswers() {
    List<Answer> drained = List.copyOf(answers);
    answers.clear();
    return drained;
  }
}
