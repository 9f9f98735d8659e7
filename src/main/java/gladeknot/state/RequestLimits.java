package gladeknot.state;

import gladeknot.settings.Settings;

/**
 * This controller's part of the request and write rates that the state service grants to all
 * controllers together.
 */
final class RequestLimits {
  /** Factor by which a controller's write rate may exceed an even share. */
  private static final double WRITE_SHARE_FACTOR = 2.0;

  /**
   * Part of the service's rates that all controllers together use. The remainder is a margin for
   * bursts and for differences between clocks.
   */
  private static final double TOTAL_SHARE = 0.92;

  /** Number of request tokens that a transaction, or a read of a single key, leaves for reads. */
  private static final double REQUESTS_RESERVED_FOR_READS = 2;

  /** Number of request tokens that a read leaves for lease renewals. */
  private static final double REQUESTS_RESERVED_FOR_RENEWALS = 1;

  /** Part of the burst of requests that a read in the background leaves to all others. */
  private static final double BACKGROUND_RESERVED_SHARE = 0.5;

  /** Number of writes in the smallest transaction that claims a task. */
  private static final int MIN_BURST_WRITES = 2;

  private final TransactionLimits limits;
  private final double writeShare;
  private final TokenBucket requests;
  private final TokenBucket writes;
  private double writesPerSecond;
  private long nowMicros;

  /** Creates limits with full token buckets. */
  RequestLimits(Settings settings, TransactionLimits limits) {
    this.limits = limits;
    double evenShare = TOTAL_SHARE / settings.nodes().size();
    double requestsPerSecond = settings.stateLimits().requestsPerSecond() * evenShare;
    // Writes come in bursts, at one controller at a time. Therefore each controller may exceed an
    // even share. It backs off when the service reports that all controllers together are over the
    // limit.
    this.writeShare = Math.min(TOTAL_SHARE, evenShare * WRITE_SHARE_FACTOR);
    this.writesPerSecond = limits.writesPerSecond();
    double ownWritesPerSecond = writesPerSecond * writeShare;
    this.requests = new TokenBucket(requestsPerSecond, requestsPerSecond);
    this.writes = new TokenBucket(ownWritesPerSecond, ownWritesPerSecond);
  }

  /** Advances the time and applies changes of the limits in force. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (writesPerSecond != limits.writesPerSecond()) {
      writesPerSecond = limits.writesPerSecond();
      writes.setRate(writesPerSecond * writeShare, currentMicros);
    }
  }

  /**
   * Takes the tokens of one transaction if there are enough.
   *
   * @param reservedShare the part of the burst, 0 to 1, that is left for more urgent transactions
   * @return whether there were enough tokens
   */
  boolean tryAcquireWrites(int count, double reservedShare) {
    double reserved = reservedShare * writes.burst();
    // A transaction that has to wait for writes must leave its request token to others.
    return writes.canAcquire(count, reserved, nowMicros)
        && requests.tryAcquire(1, REQUESTS_RESERVED_FOR_READS, nowMicros)
        && writes.tryAcquire(count, reserved, nowMicros);
  }

  /**
   * Returns the number of writes for which there are tokens.
   *
   * @param reservedShare the part of the burst, 0 to 1, that is left for more urgent transactions
   */
  int availableWrites(double reservedShare) {
    int available = (int) writes.available(reservedShare * writes.burst(), nowMicros);
    // Even with a small bucket, the two writes of a claim must eventually be possible.
    boolean full = writes.available(0, nowMicros) >= writes.burst();
    return full ? Math.max(MIN_BURST_WRITES, available) : available;
  }

  /** Takes the token of one read if there is one, and returns whether there was. */
  boolean tryAcquireRead() {
    return requests.tryAcquire(1, REQUESTS_RESERVED_FOR_RENEWALS, nowMicros);
  }

  /**
   * Takes the token of one read of a single key if there is one, and returns whether there was.
   * Lists and barrier reads come first.
   */
  boolean tryAcquireLookup() {
    return requests.tryAcquire(1, REQUESTS_RESERVED_FOR_READS, nowMicros);
  }

  /**
   * Takes the token of one read in the background if there is one, and returns whether there was.
   * All other requests come first.
   */
  boolean tryAcquireBackgroundRead() {
    return requests.tryAcquire(1, BACKGROUND_RESERVED_SHARE * requests.burst(), nowMicros);
  }

  /** Takes the token of one request that must not wait, even if there is no token. */
  void forceAcquireRequest() {
    requests.forceAcquire(1, nowMicros);
  }

  /**
   * Empties the token buckets after the service has refused a request because all controllers
   * together send too many.
   */
  void onThrottled() {
    requests.drain(nowMicros);
    writes.drain(nowMicros);
  }
}
