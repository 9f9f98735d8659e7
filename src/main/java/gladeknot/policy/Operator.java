package gladeknot.policy;

/** What joins two values; truth values are 1 and 0. */
enum Operator {
  PLUS("+"),
  MINUS("-"),
  TIMES("*"),
  OVER("/"),
  LESS("<"),
  LESS_OR_EQUAL("<="),
  GREATER(">"),
  GREATER_OR_EQUAL(">="),
  EQUAL("=="),
  NOT_EQUAL("!="),
  AND("and"),
  OR("or"),
  MIN("min"),
  MAX("max");

  private final String text;

  Operator(String text) {
    this.text = text;
  }

  /** The operator that a token names. */
  static Operator ofText(String text) {
    for (Operator operator : values()) {
      if (operator.text.equals(text)) {
        return operator;
      }
    }
    throw new IllegalStateException(text);
  }

  /** Joins two values; division by zero gives no number. */
  double apply(double left, double right) {
    return switch (this) {
      case PLUS -> left + right;
      case MINUS -> left - right;
      case TIMES -> left * right;
      case OVER -> right == 0 ? Double.NaN : left / right;
      case LESS -> truth(left < right);
      case LESS_OR_EQUAL -> truth(left <= right);
      case GREATER -> truth(left > right);
      case GREATER_OR_EQUAL -> truth(left >= right);
      case EQUAL -> truth(left == right);
      case NOT_EQUAL -> truth(left != right);
      case AND, MIN -> Math.min(left, right);
      case OR, MAX -> Math.max(left, right);
    };
  }

  private static double truth(boolean value) {
    return value ? 1 : 0;
  }
}
