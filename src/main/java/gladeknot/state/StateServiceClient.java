package gladeknot.state;

import gladeknot.outbox.Outbox;

/** Sends requests to the state service and reports throttling to the request limits. */
final class StateServiceClient {
  private final String address;
  private final Outbox outbox;
  private final RequestLimits requestLimits;

  StateServiceClient(String address, Outbox outbox, RequestLimits requestLimits) {
    this.address = address;
    this.outbox = outbox;
    this.requestLimits = requestLimits;
  }

  /** Takes the token of one read if there is one, and returns whether there was. */
  boolean tryAcquireRead() {
    return requestLimits.tryAcquireRead();
  }

  /** Takes the token of one read of a single key, see {@link RequestLimits#tryAcquireLookup}. */
  boolean tryAcquireLookup() {
    return requestLimits.tryAcquireLookup();
  }

  /** Sends a request for which the caller has acquired the tokens; {@code body} may be null. */
  void call(
      String method, String path, Object body, long timeoutMicros, Outbox.ReplyHandler handler) {
    outbox.call(
        address,
        method,
        path,
        body,
        timeoutMicros,
        reply -> {
          if (reply.status() == StateServiceCodec.TOO_MANY_REQUESTS) {
            requestLimits.onThrottled();
          }
          handler.onReply(reply);
        });
  }

  /** Sends a request that must not wait for tokens, such as a lease renewal. */
  void callUnthrottled(
      String method, String path, Object body, long timeoutMicros, Outbox.ReplyHandler handler) {
    requestLimits.forceAcquireRequest();
    call(method, path, body, timeoutMicros, handler);
  }
}
