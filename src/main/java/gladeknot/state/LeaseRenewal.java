package gladeknot.state;

/** How the renewal of a lease of the state service ended. */
public enum LeaseRenewal {
  /** The lease lasts its whole time from when the renewal was sent. */
  RENEWED,
  /** There is no such lease any more. */
  EXPIRED,
  /** Nothing is known: no answer came, or the service could not serve. */
  UNKNOWN
}
