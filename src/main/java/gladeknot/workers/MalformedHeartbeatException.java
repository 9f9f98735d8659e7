package gladeknot.workers;

/** Thrown for a malformed heartbeat. The message names the first malformed field. */
public final class MalformedHeartbeatException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedHeartbeatException(String message) {
    super(message);
  }
}
