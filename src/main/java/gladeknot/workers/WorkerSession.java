package gladeknot.workers;

/**
 * Messages exchanged with a worker since this controller acquired the worker's shard: the newest
 * heartbeat, and the answers that renewed the worker's lease. Times are microseconds of the steady
 * clock.
 */
final class WorkerSession {
  /**
   * A time before all others. It is not {@code Long.MIN_VALUE}, so that subtracting it from another
   * time does not overflow.
   */
  static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final long UNKNOWN_TERM = 0;
  private static final long NO_TOKEN = -1;

  private Heartbeat heartbeat;
  private long heartbeatMicros;
  private long answeredMicros = NEVER_MICROS;

  /** Term of the newest answer. */
  private long answeredTerm;

  /** Time of the newest answer that may have arrived, other than the last answer sent. */
  private long previousAnsweredMicros = NEVER_MICROS;

  private long reclaimAtMicros;

  /** Tokens up to this one may be in heartbeats from before the machine's last restart. */
  private long tokenAtRestart = NO_TOKEN;

  /** Records a heartbeat that is newer than all earlier ones. */
  void onHeartbeat(Heartbeat newest, long nowMicros) {
    if (newest.fencingToken() < answeredTerm && !mayPrecedeRestart(newest)) {
      // The worker has not seen the token of the newest answer. The answer was lost and renewed no
      // lease.
      answeredMicros = previousAnsweredMicros;
      answeredTerm = UNKNOWN_TERM;
    }
    heartbeat = newest;
    heartbeatMicros = nowMicros;
    reclaimAtMicros =
        newest.reclaimInSeconds().isEmpty()
            ? 0
            : nowMicros + (long) (newest.reclaimInSeconds().getAsDouble() * MICROS_PER_SECOND);
  }

  /** Records an answer, which renews the worker's lease if it arrives. */
  void onAnswered(long nowMicros, long term) {
    if (answeredTerm == UNKNOWN_TERM || heartbeat.fencingToken() >= answeredTerm) {
      previousAnsweredMicros = answeredMicros;
    }
    answeredTerm = term;
    answeredMicros = nowMicros;
  }

  /**
   * Records that the machine has restarted under a term. Earlier heartbeats no longer count for the
   * order of later ones.
   */
  void onRestart(long term) {
    heartbeat = null;
    answeredTerm = UNKNOWN_TERM;
    tokenAtRestart = term;
  }

  /**
   * Returns whether a heartbeat may have been sent before the machine's last restart. The order of
   * heartbeats does not tell, because the machine's counters began anew.
   */
  boolean mayPrecedeRestart(Heartbeat candidate) {
    return candidate.fencingToken() <= tokenAtRestart;
  }

  /** Returns the newest heartbeat; null if there is none. */
  Heartbeat heartbeat() {
    return heartbeat;
  }

  /** Returns the arrival time of the newest heartbeat; 0 if none has arrived. */
  long heartbeatMicros() {
    return heartbeatMicros;
  }

  /**
   * Returns the time of the newest answer that may have arrived; {@link #NEVER_MICROS} if there is
   * none.
   */
  long answeredMicros() {
    return answeredMicros;
  }

  /**
   * Returns the time at which the cloud reclaims the machine; 0 if the cloud has given no notice.
   */
  long reclaimAtMicros() {
    return reclaimAtMicros;
  }
}
