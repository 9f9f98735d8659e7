package gladeknot.commit;

/** Holds the committer's clock, the transaction in flight and what delays the next transaction. */
final class CommitState {
  private TransactionBatch inFlight;
  private StartAdmission admission = StartAdmission.ALL;
  private boolean awaitingRevision;
  private long notBeforeMicros;
  private long nowMicros;

  /** Returns the time of the last tick, in microseconds of the steady clock. */
  long nowMicros() {
    return nowMicros;
  }

  void tick(long currentMicros) {
    nowMicros = currentMicros;
  }

  /** Returns the admission check for starts and ends, applied when a transaction is built. */
  StartAdmission admission() {
    return admission;
  }

  void setAdmission(StartAdmission newAdmission) {
    admission = newAdmission;
  }

  /** Returns whether a transaction may be sent now. */
  boolean ready() {
    return inFlight == null && !awaitingRevision && nowMicros >= notBeforeMicros;
  }

  /** Records that a transaction is in flight. */
  void begin(TransactionBatch batch) {
    inFlight = batch;
  }

  /** Records that the transaction in flight has an outcome. */
  void end() {
    inFlight = null;
  }

  /** Returns whether the transaction in flight writes a packed key. */
  boolean writes(String key) {
    return inFlight != null && inFlight.writes(key);
  }

  /**
   * Sends no transaction until the cache contains the revision that the last transaction conflicted
   * with.
   */
  void awaitRevision() {
    awaitingRevision = true;
  }

  /** Records that the cache contains the conflicting revision. */
  void revisionReached() {
    awaitingRevision = false;
  }

  /** Sends no transaction for a time, in microseconds. */
  void pause(long micros) {
    notBeforeMicros = nowMicros + micros;
  }
}
