package gladeknot.lifecycle;

/** The reason why an attempt is known to be gone although its end was not reported. */
enum LossReason {
  /** The worker's heartbeats no longer list the attempt. */
  NOT_REPORTED("no longer reported", "not_reported"),
  /** The worker sends heartbeats, but answers with the attempt's run command did not arrive. */
  RUN_UNACKNOWLEDGED("never taken up", "run_unacknowledged"),
  /** The machine has restarted without the attempt. */
  WORKER_RESTARTED("machine begun anew", "worker_restarted"),
  /** The cloud has confirmed the release of the machine. */
  WORKER_RELEASED("machine released", "worker_released"),
  /** A former owner committed the start beyond the share; the worker doesn't have the attempt. */
  SHARE_EXCEEDED("beyond the quota", "share_exceeded"),
  /** The worker's lease has provably expired. */
  LEASE_EXPIRED("lease lapsed", "lease_expired");

  private final String traceText;
  private final String logWord;

  LossReason(String traceText, String logWord) {
    this.traceText = traceText;
    this.logWord = logWord;
  }

  /** Returns the cause of the end as written to traces, which tools read. */
  String traceText() {
    return traceText;
  }

  /** Returns the reason as written to log lines. */
  @Override
  public String toString() {
    return logWord;
  }
}
