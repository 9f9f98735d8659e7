package gladeknot.jobs;

/** Result of the validation of a submission, or of one of its steps. */
sealed interface SubmissionOutcome {
  /** The submission is valid and may be committed. */
  record Accepted(JobSpec spec) implements SubmissionOutcome {}

  /** The submission names a dependency that the registry does not know. */
  record NeedsLookup(JobSpec spec, String dependency) implements SubmissionOutcome {}

  /** A job with this id was accepted before, so the submission is a repeated one. */
  record AlreadyAccepted(String id) implements SubmissionOutcome {}

  /** The submission will never be accepted; the reason is for its user. */
  record Rejected(Cause cause, String reason) implements SubmissionOutcome {
    /** Reason for a rejection. */
    enum Cause {
      /** The submission violates the protocol's form or size limits. */
      MALFORMED,
      /** The submission is well formed, but the job can't be run as specified. */
      UNSATISFIABLE
    }
  }

  /** The submission can't be validated now and should be repeated. */
  record RetryLater(String reason) implements SubmissionOutcome {}
}
