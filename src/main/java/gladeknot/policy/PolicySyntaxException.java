package gladeknot.policy;

/** Thrown for a line of a policy that can't be parsed, with the column of its first fault. */
final class PolicySyntaxException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int column;

  /** Creates an exception for a fault at a column, counted from 1. */
  PolicySyntaxException(int column, String message) {
    super(message, null, false, false);
    this.column = column;
  }

  int column() {
    return column;
  }
}
