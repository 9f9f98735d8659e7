package gladeknot.errors;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process after an {@link Error}, such as exhausted memory. The event loop would otherwise
 * drop the event and its follow-ups, and the process would stay without serving. A process that
 * ends is started again.
 */
public final class FatalErrors {
  /** Exit code of a process that an error has ended. */
  public static final int EXIT_CODE = 70;

  private static final Logger LOG = LoggerFactory.getLogger(FatalErrors.class);

  private FatalErrors() {}

  /** Logs the error and ends the process at once, without shutdown hooks. */
  public static void exit(String event, Error error) {
    try {
      LOG.error("process ends event={} error={}", event, error.toString(), error);
    } finally {
      // Logging may fail too, for example for lack of memory.
      Runtime.getRuntime().halt(EXIT_CODE);
    }
  }

  /** Does the same if an error caused the exception; otherwise does nothing. */
  public static void exitIfError(String event, Throwable exception) {
    for (Throwable cause = exception; cause != null; cause = cause.getCause()) {
      if (cause instanceof Error error) {
        exit(event, error);
      }
    }
  }
}
