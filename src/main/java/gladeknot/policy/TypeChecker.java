package gladeknot.policy;

import gladeknot.policy.Expression.Type;
import gladeknot.policy.PolicyLexer.Token;
import java.util.Locale;

/**
 * Builds expressions from operands, and checks that the types of the operands match. If they do
 * not, a {@link PolicySyntaxException} with the operator's column is thrown.
 */
final class TypeChecker {
  private TypeChecker() {}

  /** Returns the name of a type in messages. */
  static String typeName(Type type) {
    return type.name().toLowerCase(Locale.ROOT);
  }

  /** Creates {@code and} or {@code or}. Both operands must be truth values. */
  static Expression logical(Token operator, Expression left, Expression right) {
    if (left.type() != Type.TRUTH || right.type() != Type.TRUTH) {
      throw new PolicySyntaxException(operator.column(), operator.text() + " joins truth values");
    }
    return binary(Type.TRUTH, operator, left, right);
  }

  /** Creates a comparison. Both operands must have the same type. */
  static Expression comparison(Token operator, Expression left, Expression right) {
    requireSameType(operator, left, right);
    return binary(Type.TRUTH, operator, left, right);
  }

  /**
   * Creates a sum, a difference, {@code min} or {@code max}. Both operands must be amounts of the
   * same type.
   */
  static Expression sameAmounts(Token operator, Expression left, Expression right) {
    requireSameType(operator, left, right);
    requireAmount(operator, left);
    return binary(left.type(), operator, left, right);
  }

  /** Creates a product of two numbers, or of a duration and a number. */
  static Expression product(Token operator, Expression left, Expression right) {
    requireAmount(operator, left);
    requireAmount(operator, right);
    boolean durations = left.type() == Type.DURATION && right.type() == Type.DURATION;
    if (durations) {
      throw new PolicySyntaxException(
          operator.column(), "a duration times a duration has no meaning");
    }
    Type type = right.type() == Type.DURATION ? Type.DURATION : left.type();
    return binary(type, operator, left, right);
  }

  /** Creates a quotient. A duration divided by a duration is a number. */
  static Expression quotient(Token operator, Expression left, Expression right) {
    requireAmount(operator, left);
    requireAmount(operator, right);
    if (right.type() == Type.DURATION && left.type() != Type.DURATION) {
      throw new PolicySyntaxException(operator.column(), "a number over a duration has no meaning");
    }
    Type type = right.type() == Type.DURATION ? Type.NUMBER : left.type();
    return binary(type, operator, left, right);
  }

  /** Creates the negation of an amount. */
  static Expression negation(Token operator, Expression operand) {
    requireAmount(operator, operand);
    return new Expression.Negation(operand);
  }

  /** Creates the negation of a truth value. */
  static Expression not(Token operator, Expression operand) {
    if (operand.type() != Type.TRUTH) {
      throw new PolicySyntaxException(operator.column(), "not takes a truth value");
    }
    return new Expression.Negation(operand);
  }

  /** Checks that the condition of {@code if} is a truth value. */
  static void requireCondition(Token operator, Expression condition) {
    if (condition.type() != Type.TRUTH) {
      throw new PolicySyntaxException(operator.column(), "if needs a truth value first");
    }
  }

  /** Creates a conditional expression. Both values must have the same type. */
  static Expression choice(
      Token operator, Expression condition, Expression then, Expression otherwise) {
    requireSameType(operator, then, otherwise);
    return new Expression.Choice(condition, then, otherwise);
  }

  private static Expression binary(Type type, Token operator, Expression left, Expression right) {
    return new Expression.Binary(type, Operator.ofText(operator.text()), left, right);
  }

  private static void requireSameType(Token operator, Expression left, Expression right) {
    if (left.type() != right.type()) {
      throw new PolicySyntaxException(
          operator.column(),
          operator.text()
              + " joins a "
              + typeName(left.type())
              + " and a "
              + typeName(right.type()));
    }
  }

  private static void requireAmount(Token operator, Expression operand) {
    if (operand.type() == Type.TRUTH) {
      throw new PolicySyntaxException(
          operator.column(), operator.text() + " takes no truth values");
    }
  }
}
