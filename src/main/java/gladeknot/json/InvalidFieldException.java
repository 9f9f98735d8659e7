package gladeknot.json;

/** A received JSON object breaks its form; the message names the field and what it must be. */
public final class InvalidFieldException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * A field that breaks the form.
   *
   * @param name the field
   * @param requirement what is wrong with it, as the sender is told
   */
  public InvalidFieldException(String name, String requirement) {
    super(name + ": " + requirement);
  }
}
