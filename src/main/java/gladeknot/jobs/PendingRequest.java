package gladeknot.jobs;

/** A user's request that waits for a commit. */
sealed interface PendingRequest {
  /** The number by which the request is answered. */
  long request();

  /** The job that it is about. */
  String jobId();

  /** When it began to wait, in microseconds of the event loop's clock. */
  long sinceMicros();

  /** A job to be accepted. */
  record Submission(long request, JobSpec spec, long sinceMicros) implements PendingRequest {
    @Override
    public String jobId() {
      return spec.id();
    }
  }

  /** A job to be cancelled. */
  record Cancellation(long request, String jobId, long sinceMicros) implements PendingRequest {}
}
