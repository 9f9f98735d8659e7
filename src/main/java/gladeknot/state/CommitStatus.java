package gladeknot.state;

/** How a transaction ended. */
public enum CommitStatus {
  /** Executed. */
  COMMITTED,
  /** Not executed: a condition failed. */
  CONFLICT,
  /** Not executed: the service is out of order. */
  UNAVAILABLE,
  /** Not executed: all controllers together exceed the rate limit. */
  THROTTLED,
  /** Not executed: the lease to attach to has expired, or the request was malformed. */
  REJECTED,
  /** No answer: it may have been executed, or may still be. */
  UNKNOWN
}
