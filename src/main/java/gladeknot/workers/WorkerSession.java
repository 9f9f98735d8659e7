package gladeknot.workers;

/**
 * What this controller and a worker have exchanged since its shard was acquired: the newest
 * heartbeat, and the answers that renewed the worker's lease. Times are microseconds of the steady
 * clock.
 */
final class WorkerSession {
  /** Before any time, yet far enough from the least number to be subtracted from another. */
  static final long NEVER = Long.MIN_VALUE / 2;

  private static final double MICROS_PER_SECOND = 1e6;
  private static final long UNKNOWN_TERM = 0;

  private Heartbeat heartbeat;
  private long heartbeatMicros;
  private long answeredMicros = NEVER;

  /** The term of the newest answer. */
  private long answeredTerm;

  /** The answer before the newest that may have arrived. */
  private long previousAnsweredMicros = NEVER;

  private long reclaimAtMicros;

  /** Records a heartbeat that is newer than those before it. */
  void onHeartbeat(Heartbeat newest, long nowMicros) {
    if (newest.fencingToken() < answeredTerm) {
      // It has not seen the token of the newest answer: that was lost, and renewed no lease.
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

  /** Records an answer that renews the worker's lease if it arrives. */
  void onAnswered(long nowMicros, long term) {
    if (answeredTerm == UNKNOWN_TERM || heartbeat.fencingToken() >= answeredTerm) {
      previousAnsweredMicros = answeredMicros;
    }
    answeredTerm = term;
    answeredMicros = nowMicros;
  }

  /** The machine has restarted: earlier heartbeats don't count for the order of later ones. */
  void onRestart() {
    heartbeat = null;
    answeredTerm = UNKNOWN_TERM;
  }

  /** The newest heartbeat; null if there is none. */
  Heartbeat heartbeat() {
    return heartbeat;
  }

  /** When the newest heartbeat arrived; 0 if none did. */
  long heartbeatMicros() {
    return heartbeatMicros;
  }

  /** When the newest answer that may have arrived was sent; {@link #NEVER} if there is none. */
  long answeredMicros() {
    return answeredMicros;
  }

  /** When the cloud takes the machine back; 0 if it has given no notice. */
  long reclaimAtMicros() {
    return reclaimAtMicros;
  }
}
