package gladeknot.jobs;

/** Thrown for a malformed submission. The message names the invalid field. */
public final class MalformedJobException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedJobException(String message) {
    super(message);
  }
}
