package gladeknot.workers;

/** Task failures on a machine, and the end of the quarantine that they cause. */
final class WorkerFailures {
  private int consecutiveFailures;
  private String lastFailedJob = "";
  private long quarantinedUntilMicros;

  /** Counts a task failure and returns {@link #consecutiveFailures}. */
  int countFailure(String job) {
    consecutiveFailures++;
    if (!lastFailedJob.equals(job) && consecutiveFailures > 1) {
      // Consecutive failures of more than one job indicate that the machine is at fault.
      consecutiveFailures++;
    }
    lastFailedJob = job;
    return consecutiveFailures;
  }

  void resetFailures() {
    consecutiveFailures = 0;
  }

  /**
   * Returns the number of task failures since the last success. A failure counts twice if the
   * previous failure was of another job.
   */
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
