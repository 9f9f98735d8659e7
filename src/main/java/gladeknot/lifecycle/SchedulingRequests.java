package gladeknot.lifecycle;

/** Whether something has happened since the last scheduling round that may let tasks be placed. */
final class SchedulingRequests {
  private boolean requested;

  /** Requests a scheduling round. */
  void request() {
    requested = true;
  }

  boolean requested() {
    return requested;
  }

  /** Returns whether a round was requested, and takes the request back. */
  boolean take() {
    boolean was = requested;
    requested = false;
    return was;
  }
}
