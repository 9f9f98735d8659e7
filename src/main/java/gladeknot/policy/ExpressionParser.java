package gladeknot.policy;

import gladeknot.policy.Expression.Type;
import gladeknot.policy.PolicyLexer.Token;
import java.util.List;
import java.util.Map;

/**
 * Parses one expression by recursive descent, with one method for each level of precedence. Types
 * are checked while the expression is built, so that the leftmost fault is reported.
 */
final class ExpressionParser {
  private static final List<String> COMPARISONS = List.of("<", "<=", ">", ">=", "==", "!=");
  private static final int MAX_DEPTH = 40;

  private static final double SECONDS_PER_MILLISECOND = 0.001;
  private static final double SECONDS_PER_MINUTE = 60;

  private final TokenCursor cursor;
  private final Map<String, Type> variables;
  private int depth;

  /** Creates a parser that starts at the cursor's position. */
  ExpressionParser(TokenCursor cursor, Map<String, Type> variables) {
    this.cursor = cursor;
    this.variables = variables;
  }

  /** Parses an expression and leaves the cursor after its last token. */
  Expression parse() {
    Expression left = conjunction();
    while (cursor.at("or")) {
      left = TypeChecker.logical(cursor.take(), left, conjunction());
    }
    return left;
  }

  private Expression conjunction() {
    Expression left = comparison();
    while (cursor.at("and")) {
      left = TypeChecker.logical(cursor.take(), left, comparison());
    }
    return left;
  }

  private Expression comparison() {
    Expression left = sum();
    if (cursor.atAny(COMPARISONS)) {
      left = TypeChecker.comparison(cursor.take(), left, sum());
    }
    return left;
  }

  private Expression sum() {
    Expression left = product();
    while (cursor.at("+") || cursor.at("-")) {
      left = TypeChecker.sameAmounts(cursor.take(), left, product());
    }
    return left;
  }

  private Expression product() {
    Expression left = unary();
    while (cursor.at("*") || cursor.at("/")) {
      Token operator = cursor.take();
      Expression right = unary();
      left =
          operator.text().equals("*")
              ? TypeChecker.product(operator, left, right)
              : TypeChecker.quotient(operator, left, right);
    }
    return left;
  }

  private Expression unary() {
    if (++depth > MAX_DEPTH) {
      throw new PolicySyntaxException(cursor.column(), "too deep");
    }
    try {
      if (cursor.at("-")) {
        return TypeChecker.negation(cursor.take(), unary());
      }
      if (cursor.at("not")) {
        return TypeChecker.not(cursor.take(), unary());
      }
      return primary();
    } finally {
      depth--;
    }
  }

  private Expression primary() {
    Token token = cursor.take();
    if (token.isNumber()) {
      return constant(Double.parseDouble(token.text()));
    }
    return switch (token.text()) {
      case "(" -> parenthesized();
      case "true" -> new Expression.Constant(Type.TRUTH, 1);
      case "false" -> new Expression.Constant(Type.TRUTH, 0);
      case "min", "max" -> minimumOrMaximum(token);
      case "if" -> choice(token);
      default -> variable(token);
    };
  }

  private Expression parenthesized() {
    Expression inner = parse();
    cursor.expect(")");
    return inner;
  }

  private Expression minimumOrMaximum(Token function) {
    cursor.expect("(");
    Expression left = parse();
    cursor.expect(",");
    Expression right = parse();
    cursor.expect(")");
    return TypeChecker.sameAmounts(function, left, right);
  }

  private Expression choice(Token function) {
    cursor.expect("(");
    Expression condition = parse();
    TypeChecker.requireCondition(function, condition);
    cursor.expect(",");
    Expression then = parse();
    cursor.expect(",");
    Expression otherwise = parse();
    cursor.expect(")");
    return TypeChecker.choice(function, condition, then, otherwise);
  }

  private Expression variable(Token name) {
    Type type = variables.get(name.text());
    if (type == null) {
      throw new PolicySyntaxException(name.column(), "unknown variable " + name.text());
    }
    return new Expression.Variable(type, name.text());
  }

  /** Creates a constant: a number, or a duration if a unit follows. */
  private Expression constant(double value) {
    double secondsPerUnit =
        switch (cursor.textAhead(0)) {
          case "ms" -> SECONDS_PER_MILLISECOND;
          case "s" -> 1;
          case "min" -> cursor.textAhead(1).equals("(") ? 0 : SECONDS_PER_MINUTE;
          default -> 0;
        };
    if (secondsPerUnit == 0) {
      return new Expression.Constant(Type.NUMBER, value);
    }
    cursor.take();
    return new Expression.Constant(Type.DURATION, value * secondsPerUnit);
  }
}
