package gladeknot.lifecycle;

/** Why an attempt is known to be gone although its end was not reported. */
enum LossReason {
  /** The worker's heartbeats have ceased to list it. */
  NOT_REPORTED("no longer reported", "not_reported"),
  /** The worker sends heartbeats, but the answers with its run command did not arrive. */
  RUN_UNACKNOWLEDGED("never taken up", "run_unacknowledged"),
  /** The machine has restarted without it. */
  WORKER_RESTARTED("machine begun anew", "worker_restarted"),
  /** The cloud has confirmed the release of the machine. */
  WORKER_RELEASED("machine released", "worker_released"),
  /** A former owner committed its start beyond the share, and its worker does not have it. */
  SHARE_EXCEEDED("beyond the quota", "share_exceeded"),
  /** The worker's lease has surely expired. */
  LEASE_EXPIRED("lease lapsed", "lease_expired");

  private final String traceText;
  private final String logWord;

  LossReason(String traceText, String logWord) {
    this.traceText = traceText;
    this.logWord = logWord;
  }

  /** The cause of the end in traces, which are read by tools. */
  String traceText() {
    return traceText;
  }

  /** The reason in log lines. */
  @Override
  public String toString() {
    return logWord;
  }
}
