package gladeknot.workers;

/** Failures of tasks on a machine, and until when it is quarantined for them. */
final class WorkerFailures {
  private int consecutiveFailures;
  private String lastFailedJob = "";
  private long quarantinedUntilMicros;

  /** Counts a failed task; returns {@link #consecutiveFailures}. */
  int countFailure(String job) {
    consecutiveFailures++;
    if (!lastFailedJob.equals(job) && consecutiveFailures > 1) {
      // Failures of more than one job in a row indicate that the machine is at fault.
      consecutiveFailures++;
    }
    lastFailedJob = job;
    return consecutiveFailures;
  }

  void resetFailures() {
    consecutiveFailures = 0;
  }

  /** Tasks that failed since the last success; those of a job other than the one before twice. */
  int consecutiveFailures() {
    return consecutiveFailures;
  }

  void quarantineUntil(long micros) {
    quarantinedUntilMicros = micros;
  }

  long quarantinedUntilMicros() {
    return quarantinedUntilMicros;
  }
}
