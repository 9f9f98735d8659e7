package gladeknot.membership;

import gladeknot.settings.Settings;

/**
 * Durations of leases and the times until which their holders may act. All rules about leases rest
 * on this computation.
 *
 * <p>A controller answers its workers until its state lease, or the state that its watch cache is
 * known to reflect, is {@code stateLeaseMicros} old. A worker keeps its tasks for {@code
 * workerLeaseMicros} after it sent the last heartbeat that was answered. The controller may not
 * know of a cancellation that was committed after its cache was last known to be current. The sum
 * of both durations, with clock drift and a margin for commands in transit, therefore stays below
 * {@code cancelMicros}. All durations count from the sending of the request.
 */
public record LeaseTimes(long stateLeaseMicros, long workerLeaseMicros, long cancelMicros) {
  /** Maximum drift between two clocks, as a fraction: twice the 0.05% by which one may drift. */
  private static final double MAX_CLOCK_DRIFT = 0.001;

  /** Multiple of the clock drift that is added to a worker's lease before it counts as expired. */
  private static final double EXPIRY_DRIFT_FACTOR = 1.5;

  /**
   * Minimum margin within the cancellation time, in microseconds. It covers a kill command in
   * transit and answers that were given just before a lease ended.
   */
  private static final long MIN_CANCEL_MARGIN_MICROS = 3_000_000;

  /** Time before the end of a lease when acting stops, in microseconds: timers fire late. */
  private static final long LEASE_END_GUARD_MICROS = 50_000;

  /** Margin added to a worker's lease before it counts as expired, in microseconds. */
  private static final long EXPIRY_MARGIN_MICROS = 300_000;

  /** Duration of a delegation, in microseconds. */
  private static final long DELEGATION_MICROS = 6_000_000;

  /** Returns the times for the wanted state lease, or for the longest that cancellation allows. */
  public static LeaseTimes of(Settings.Workers workers, long wantedStateLeaseMicros) {
    long longestMicros = workers.cancelMicros() - workers.leaseMicros() - MIN_CANCEL_MARGIN_MICROS;
    return new LeaseTimes(
        Math.min(wantedStateLeaseMicros, longestMicros),
        workers.leaseMicros(),
        workers.cancelMicros());
  }

  /**
   * Returns the time until which a controller may act.
   *
   * @param renewedMicros time at which it sent the newest granted renewal of its state lease
   * @param cacheCurrentMicros time at which it sent the newest read that its cache reflects
   */
  public long mayActUntilMicros(long renewedMicros, long cacheCurrentMicros) {
    long validFromMicros = Math.min(renewedMicros, cacheCurrentMicros);
    return validFromMicros
        + (long) (stateLeaseMicros * (1 - MAX_CLOCK_DRIFT))
        - LEASE_END_GUARD_MICROS;
  }

  /** Returns the time without an answer after which a worker's lease has expired by any clock. */
  public long expiredAfterMicros() {
    return (long) (workerLeaseMicros * (1 + EXPIRY_DRIFT_FACTOR * MAX_CLOCK_DRIFT))
        + EXPIRY_MARGIN_MICROS;
  }

  /** Returns the time until which a delegate that sent its entry at a given time may act. */
  public long delegateMayActUntilMicros(long sentMicros) {
    return sentMicros + (long) (DELEGATION_MICROS * (1 - MAX_CLOCK_DRIFT));
  }

  /**
   * Returns the time by which a delegation has expired if its entry was observed at a given time.
   */
  public long delegationExpiredAtMicros(long observedMicros) {
    return observedMicros + (long) (DELEGATION_MICROS * (1 + MAX_CLOCK_DRIFT));
  }

  /**
   * Returns the longest time that a task may stay on a machine after its cancellation was
   * committed, if no kill command reaches the task. An owner that does not know of the cancellation
   * may answer the worker for a whole state lease, and the worker's lease follows. A delegate adds
   * no time: it reads the state after each heartbeat, before it answers, and kills cancelled tasks.
   */
  public long longestAfterCancelMicros() {
    return stateLeaseMicros + (long) (workerLeaseMicros * (1 + MAX_CLOCK_DRIFT));
  }
}
