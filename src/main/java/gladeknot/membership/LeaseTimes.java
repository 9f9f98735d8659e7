package gladeknot.membership;

import gladeknot.settings.Settings;

/**
 * Who may act until when: the one computation on which all rules about leases rest.
 *
 * <p>A controller answers its workers until its state lease, or what its watch cache is known to
 * reflect, is {@code stateLeaseMicros} old. A worker keeps its tasks for {@code workerLeaseMicros}
 * after it sent the last heartbeat that was answered. What was cancelled after the cache was
 * current is unknown to the controller that long, so that both together, with drifting clocks and a
 * margin for commands on their way, stay below {@code cancelMicros}. All times count from when
 * something was sent.
 */
public record LeaseTimes(long stateLeaseMicros, long workerLeaseMicros, long cancelMicros) {
  /** Clocks drift apart by at most 0.05%; twice that covers two of them. */
  private static final double DRIFT = 0.001;

  /** A worker's lease counts as expired only after its whole drift and half as much again. */
  private static final double EXPIRY_DRIFTS = 1.5;

  /** For a kill on its way, and for answers that were given at the last moment. */
  private static final long MIN_MARGIN_MICROS = 3_000_000;

  /** Timers fire late by a little: nothing is done in the last moment of a lease. */
  private static final long GUARD_MICROS = 50_000;

  /** Added to a worker's lease before it counts as expired. */
  private static final long EXPIRY_MARGIN_MICROS = 300_000;

  /** How long one delegation lets another controller renew a shard's workers' leases. */
  private static final long DELEGATION_MICROS = 6_000_000;

  /** The wanted state lease, or as much of it as the time of a cancellation allows. */
  public static LeaseTimes of(Settings.Workers workers, long wantedMicros) {
    long most = workers.cancelMicros() - workers.leaseMicros() - MIN_MARGIN_MICROS;
    return new LeaseTimes(
        Math.min(wantedMicros, most), workers.leaseMicros(), workers.cancelMicros());
  }

  /**
   * Until when a controller may act, by when it sent the newest renewal of its state lease that was
   * granted and the newest read that its cache reflects.
   */
  public long actsUntilMicros(long renewedMicros, long freshMicros) {
    long since = Math.min(renewedMicros, freshMicros);
    return since + (long) (stateLeaseMicros * (1 - DRIFT)) - GUARD_MICROS;
  }

  /** After how long without an answer a worker's lease has expired, by any clock. */
  public long expiredAfterMicros() {
    return (long) (workerLeaseMicros * (1 + EXPIRY_DRIFTS * DRIFT)) + EXPIRY_MARGIN_MICROS;
  }

  /** Until when whoever entered a delegation may renew leases, by when it sent the entry. */
  public long delegateUntilMicros(long sentMicros) {
    return sentMicros + (long) (DELEGATION_MICROS * (1 - DRIFT));
  }

  /** Until when the owner reckons with that, by when it observed the entry. */
  public long delegatedUntilMicros(long seenMicros) {
    return seenMicros + (long) (DELEGATION_MICROS * (1 + DRIFT));
  }

  /**
   * How long after a cancellation was committed a task may be on a machine, if no kill reaches it:
   * the longest answer by an owner that does not know of it, then the worker's lease. A delegate
   * reads after each heartbeat before it answers, and kills what is over, so that it adds nothing.
   */
  public long longestAfterCancelMicros() {
    return stateLeaseMicros + (long) (workerLeaseMicros * (1 + DRIFT));
  }
}
