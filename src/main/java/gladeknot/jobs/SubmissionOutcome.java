package gladeknot.jobs;

/** What the validation of a submission, or a step of it, has come to. */
sealed interface SubmissionOutcome {
  /** Nothing stands against the submission; it may be committed. */
  record Accepted(JobSpec spec) implements SubmissionOutcome {}

  /** The submission names dependencies that the local copy may be too old to show. */
  record NeedsReadBarrier(JobSpec spec) implements SubmissionOutcome {}

  /** A job with this id was accepted before: the submission is a repeated one. */
  record AlreadyAccepted(String id) implements SubmissionOutcome {}

  /** The submission will never be accepted; the reason is for its user. */
  record Rejected(Cause cause, String reason) implements SubmissionOutcome {
    /** Why a submission is rejected. */
    enum Cause {
      /** It breaks the protocol's form or size. */
      MALFORMED,
      /** It is well formed, but can't be run as it is. */
      UNSATISFIABLE
    }
  }

  /** Nothing can be said now; the submission should be repeated. */
  record RetryLater(String reason) implements SubmissionOutcome {}
}
