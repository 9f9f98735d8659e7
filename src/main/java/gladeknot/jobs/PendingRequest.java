package gladeknot.jobs;

/** A user's request that waits for a commit. */
sealed interface PendingRequest {
  /** Returns the number by which the request is answered. */
  long request();

  /** Returns the id of the job that the request is about. */
  String jobId();

  /**
   * Returns the time at which the request began to wait, in microseconds of the event loop's clock.
   */
  long sinceMicros();

  /** A request to accept a job. */
  record Submission(long request, JobSpec spec, long sinceMicros) implements PendingRequest {
    @Override
    public String jobId() {
      return spec.id();
    }
  }

  /** A request to cancel a job. */
  record Cancellation(long request, String jobId, long sinceMicros) implements PendingRequest {}
}
