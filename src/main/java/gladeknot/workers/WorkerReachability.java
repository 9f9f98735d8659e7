package gladeknot.workers;

/** Whether a worker whose heartbeats arrive gets the answers to them. */
final class WorkerReachability {
  private boolean unreachable;
  private boolean confirmed;
  private long sinceMicros;
  private long incarnation;

  /** Records that the answers to an incarnation's heartbeats don't arrive, as it seems. */
  void markUnreachable(long ofIncarnation, long nowMicros) {
    if (!unreachable) {
      unreachable = true;
      sinceMicros = nowMicros;
      incarnation = ofIncarnation;
    }
  }

  /** Records that a command was carried out. */
  void markReachable() {
    unreachable = false;
    confirmed = false;
  }

  /**
   * Judges the worker by the incarnation of its newest heartbeat. One that lasts longer than a
   * lease has been answered, so that some answers were only late; one that has ended meanwhile has
   * not.
   */
  void update(long newestIncarnation, long nowMicros, long leaseMicros) {
    if (!unreachable) {
      return;
    }
    if (newestIncarnation > incarnation) {
      confirmed = true;
    } else if (nowMicros - sinceMicros > leaseMicros) {
      markReachable();
    }
  }

  boolean unreachable() {
    return unreachable;
  }

  /** Whether an incarnation has ended although its heartbeats were answered. */
  boolean confirmed() {
    return confirmed;
  }
}
