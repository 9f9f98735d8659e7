package gladeknot.workers;

/** A heartbeat that breaks the form; the message names the first field that is wrong. */
public final class MalformedHeartbeatException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedHeartbeatException(String message) {
    super(message);
  }
}
