package gladeknot.state;

/** The result of renewing a lease of the state service. */
public enum LeaseRenewal {
  /** The lease is valid for its full duration, counted from the sending of the renewal. */
  RENEWED,
  /** The lease no longer exists. */
  EXPIRED,
  /** The result is not known: there was no answer, or the service was unavailable. */
  UNKNOWN
}
