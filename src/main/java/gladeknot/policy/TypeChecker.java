package gladeknot.policy;

import gladeknot.policy.Expression.Type;
import gladeknot.policy.PolicyLexer.Token;
import java.util.Locale;

/** Builds expressions whose parts' types and units fit each other, or fails at the operator. */
final class TypeChecker {
  private TypeChecker() {}

  /** A type's name in messages. */
  static String word(Type type) {
    return type.name().toLowerCase(Locale.ROOT);
  }

  /** {@code and} or {@code or}: both sides are truth values. */
  static Expression logical(Token operator, Expression left, Expression right) {
    if (left.type() != Type.TRUTH || right.type() != Type.TRUTH) {
      throw new PolicySyntaxException(operator.column(), operator.text() + " joins truth values");
    }
    return binary(Type.TRUTH, operator, left, right);
  }

  /** A comparison: both sides have the same type. */
  static Expression comparison(Token operator, Expression left, Expression right) {
    requireSameType(operator, left, right);
    return binary(Type.TRUTH, operator, left, right);
  }

  /** A sum, a difference, {@code min} or {@code max}: both sides are amounts of the same type. */
  static Expression sameAmounts(Token operator, Expression left, Expression right) {
    requireSameType(operator, left, right);
    requireAmount(operator, left);
    return binary(left.type(), operator, left, right);
  }

  /** A product: of numbers, or of a duration and a number. */
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

  /** A quotient: a duration over a duration is a number. */
  static Expression quotient(Token operator, Expression left, Expression right) {
    requireAmount(operator, left);
    requireAmount(operator, right);
    if (right.type() == Type.DURATION && left.type() != Type.DURATION) {
      throw new PolicySyntaxException(operator.column(), "a number over a duration has no meaning");
    }
    Type type = right.type() == Type.DURATION ? Type.NUMBER : left.type();
    return binary(type, operator, left, right);
  }

  /** The negative of an amount. */
  static Expression negative(Token operator, Expression operand) {
    requireAmount(operator, operand);
    return new Expression.Negation(operand);
  }

  /** The opposite of a truth value. */
  static Expression not(Token operator, Expression operand) {
    if (operand.type() != Type.TRUTH) {
      throw new PolicySyntaxException(operator.column(), "not takes a truth value");
    }
    return new Expression.Negation(operand);
  }

  /** The condition of {@code if}. */
  static void requireCondition(Token operator, Expression condition) {
    if (condition.type() != Type.TRUTH) {
      throw new PolicySyntaxException(operator.column(), "if needs a truth value first");
    }
  }

  /** One of two values of the same type. */
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
          operator.text() + " joins a " + word(left.type()) + " and a " + word(right.type()));
    }
  }

  private static void requireAmount(Token operator, Expression operand) {
    if (operand.type() == Type.TRUTH) {
      throw new PolicySyntaxException(
          operator.column(), operator.text() + " takes no truth values");
    }
  }
}
