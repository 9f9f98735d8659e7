package gladeknot.state;

/** The result of a transaction. */
public enum CommitStatus {
  /** Executed. */
  COMMITTED,
  /** Not executed: a precondition failed. */
  CONFLICT,
  /** Not executed: the service is unavailable. */
  UNAVAILABLE,
  /** Not executed: the controllers together exceed the rate limit. */
  THROTTLED,
  /** Not executed: the lease to attach to has expired, or the request was malformed. */
  REJECTED,
  /** No answer: the transaction may have been executed or may still be executed. */
  UNKNOWN
}
