package gladeknot.policy;

/** Binary operators and functions. Truth values are 1 and 0. */
enum Operator {
  PLUS("+"),
  MINUS("-"),
  TIMES("*"),
  DIVIDED_BY("/"),
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

  /** Returns the operator with the given text. */
  static Operator ofText(String text) {
    for (Operator operator : values()) {
      if (operator.text.equals(text)) {
        return operator;
      }
    }
    throw new IllegalStateException("unknown operator " + text);
  }

  /** Applies the operator to two values. Division by zero yields NaN. */
  double apply(double left, double right) {
    return switch (this) {
      case PLUS -> left + right;
      case MINUS -> left - right;
      case TIMES -> left * right;
      case DIVIDED_BY -> right == 0 ? Double.NaN : left / right;
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
