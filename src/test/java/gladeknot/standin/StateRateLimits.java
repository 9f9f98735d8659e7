package gladeknot.standin;

import gladeknot.json.Json;
import gladeknot.state.TokenBucket;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Rates of requests and writes that the state service serves to all controllers together. Each
 * allows a burst of one second.
 */
final class StateRateLimits {
  private final TokenBucket requests;
  private final TokenBucket writes;
  private long refused;

  StateRateLimits(double requestsPerSecond, double writesPerSecond) {
    requests = new TokenBucket(requestsPerSecond, requestsPerSecond);
    writes = new TokenBucket(writesPerSecond, writesPerSecond);
  }

  /** Returns whether a call is served, and counts it. */
  boolean admits(String path, byte[] body, long nowMicros) {
    int writeCount = path.equals("/commit") ? writeCount(body) : 0;
    boolean admitted =
        requests.available(0, nowMicros) >= 1 && writes.available(0, nowMicros) >= writeCount;
    if (admitted) {
      requests.tryAcquire(1, 0, nowMicros);
      writes.forceAcquire(writeCount, nowMicros);
    } else {
      refused++;
    }
    return admitted;
  }

  /** Returns the number of calls that were refused. */
  long refused() {
    return refused;
  }

  /** Returns the answer to a call that is refused. */
  static ServiceResponse refusal() {
    return new ServiceResponse(429, Json.of());
  }

  private static int writeCount(byte[] transaction) {
    try {
      return Json.objects(Json.object(transaction), "writes").size();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
