package gladeknot.lifecycle;

/** Records whether a change since the last scheduling round may allow tasks to be placed. */
final class SchedulingRequests {
  private boolean requested;

  /** Requests a scheduling round. */
  void request() {
    requested = true;
  }

  boolean requested() {
    return requested;
  }

  /** Returns whether a round is requested, and clears the request. */
  boolean take() {
    boolean wasRequested = requested;
    requested = false;
    return wasRequested;
  }
}
