package gladeknot.workers;

/** Reachability of a worker whose heartbeats arrive: whether it receives the answers. */
final class WorkerReachability {
  private boolean unreachable;
  private boolean confirmed;
  private long sinceMicros;
  private long incarnation;

  /** Records that the answers to an incarnation's heartbeats seem not to arrive. */
  void markUnreachable(long ofIncarnation, long nowMicros) {
    if (!unreachable) {
      unreachable = true;
      sinceMicros = nowMicros;
      incarnation = ofIncarnation;
    }
  }

  /** Records that answers arrive, for example because the worker has carried out a command. */
  void markReachable() {
    unreachable = false;
    confirmed = false;
  }

  /**
   * Updates the state from the incarnation of the newest heartbeat. An incarnation that lasts
   * longer than a lease has received answers, so the missing answers were only late. An incarnation
   * that has ended in the meantime has not received its answers.
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

  /** Returns whether an incarnation has ended although its heartbeats were answered. */
  boolean confirmed() {
    return confirmed;
  }
}
