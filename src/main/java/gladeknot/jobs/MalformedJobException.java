package gladeknot.jobs;

/** A submission that breaks the protocol's form; the message names the offending field. */
public final class MalformedJobException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedJobException(String message) {
    super(message);
  }
}
