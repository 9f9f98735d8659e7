package gladeknot.commit;

/** The committer's clock, the transaction in flight, and what the next one has to wait for. */
final class CommitState {
  private TransactionBatch inFlight;
  private StartAdmission admission = StartAdmission.ALL;
  private boolean awaitingRevision;
  private long notBeforeMicros;
  private long nowMicros;

  /** The time of the last tick, in microseconds of the steady clock. */
  long nowMicros() {
    return nowMicros;
  }

  void tick(long now) {
    nowMicros = now;
  }

  /** Decides on starts and ends when a transaction is built. */
  StartAdmission admission() {
    return admission;
  }

  void setAdmission(StartAdmission newAdmission) {
    admission = newAdmission;
  }

  /** Whether a transaction may be sent now. */
  boolean ready() {
    return inFlight == null && !awaitingRevision && nowMicros >= notBeforeMicros;
  }

  /** A transaction is sent. */
  void begin(TransactionBatch batch) {
    inFlight = batch;
  }

  /** The transaction in flight has an outcome. */
  void end() {
    inFlight = null;
  }

  /** Whether the transaction in flight writes a key. */
  boolean writes(String key) {
    return inFlight != null && inFlight.writes(key);
  }

  /** Nothing is sent until the state store's copy contains what a transaction conflicted with. */
  void awaitRevision() {
    awaitingRevision = true;
  }

  /** The copy contains what a transaction conflicted with. */
  void revisionReached() {
    awaitingRevision = false;
  }

  /** Nothing is sent for a time. */
  void pause(long micros) {
    notBeforeMicros = nowMicros + micros;
  }
}
