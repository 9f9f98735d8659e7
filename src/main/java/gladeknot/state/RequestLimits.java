package gladeknot.state;

import gladeknot.settings.Settings;

/**
 * This controller's share of the request and write rates that the state service grants to all
 * controllers together.
 */
final class RequestLimits {
  /** A controller's writes may exceed an even share by this factor. */
  private static final double WRITE_SHARE_FACTOR = 2.0;

  /** The part of the service's rates that all together use; clocks and bursts take the rest. */
  private static final double MAX_SHARE = 0.92;

  /** Requests that a transaction leaves to reads. */
  private static final double REQUESTS_KEPT_BY_WRITES = 2;

  /** Requests that a read leaves to lease renewals. */
  private static final double REQUESTS_KEPT_BY_READS = 1;

  /** The writes of the smallest transaction that a claim of a task needs. */
  private static final int MIN_BURST_WRITES = 2;

  private final TransactionLimits limits;
  private final double writeShare;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private double writesPerSecond;
  private long nowMicros;

  /** Full buckets. */
  RequestLimits(Settings settings, TransactionLimits limits) {
    this.limits = limits;
    double evenShare = MAX_SHARE / settings.nodes().size();
    double requestsPerSecond = settings.stateLimits().rps() * evenShare;
    // Writes come in bursts at one controller or the other: each may exceed an even share, and
    // backs off when the service reports that all together were too many.
    this.writeShare = Math.min(MAX_SHARE, evenShare * WRITE_SHARE_FACTOR);
    this.writesPerSecond = limits.writesPerSecond();
    double ownWritesPerSecond = writesPerSecond * writeShare;
    this.requests = new TokenBucket(requestsPerSecond, requestsPerSecond);
    this.writes = new TokenBucket(ownWritesPerSecond, ownWritesPerSecond);
  }

  /** Advances the time, and follows a change of the limits in force. */
  void tick(long now) {
    nowMicros = now;
    if (writesPerSecond != limits.writesPerSecond()) {
      writesPerSecond = limits.writesPerSecond();
      writes.setRate(writesPerSecond * writeShare, now);
    }
  }

  /** Takes the tokens of one transaction, leaving a share of the burst to more urgent ones. */
  boolean tryAcquireWrites(int count, double keepShare) {
    double keep = keepShare * writes.burst();
    return requests.tryAcquire(1, REQUESTS_KEPT_BY_WRITES, nowMicros)
        && writes.tryAcquire(count, keep, nowMicros);
  }

  /** How many writes there are tokens for, leaving a share of the burst to more urgent ones. */
  int availableWrites(double keepShare) {
    int available = (int) writes.available(keepShare * writes.burst(), nowMicros);
    // However small the bucket is, a claim's two writes must be possible at some time.
    boolean full = writes.available(0, nowMicros) >= writes.burst();
    return full ? Math.max(MIN_BURST_WRITES, available) : available;
  }

  /** Takes the token of one read if there is one. */
  boolean tryAcquireRead() {
    return requests.tryAcquire(1, REQUESTS_KEPT_BY_READS, nowMicros);
  }

  /** Takes the token of one request that must not wait, even if there is none. */
  void forceAcquireRequest() {
    requests.forceAcquire(1, nowMicros);
  }

  /** The service has refused a request because all controllers together send too many. */
  void onThrottled() {
    requests.drain(nowMicros);
    writes.drain(nowMicros);
  }
}
