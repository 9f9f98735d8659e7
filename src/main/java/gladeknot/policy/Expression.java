package gladeknot.policy;

import java.util.Map;

/** A type-checked expression. Durations are in seconds; truth values are 1 and 0. */
interface Expression {
  /** Type of a value. */
  enum Type {
    NUMBER,
    DURATION,
    TRUTH
  }

  /** Returns the type of the expression's value. */
  Type type();

  /** Evaluates the expression. A variable without a value counts as 0. */
  double eval(Map<String, Double> variables);

  /** A constant. */
  record Constant(Type type, double value) implements Expression {
    @Override
    public double eval(Map<String, Double> variables) {
      return value;
    }
  }

  /** A reference to a variable. */
  record Variable(Type type, String name) implements Expression {
    @Override
    public double eval(Map<String, Double> variables) {
      return variables.getOrDefault(name, 0.0);
    }
  }

  /** The negation of a truth value or of an amount. */
  record Negation(Expression operand) implements Expression {
    @Override
    public Type type() {
      return operand.type();
    }

    @Override
    public double eval(Map<String, Double> variables) {
      double value = operand.eval(variables);
      return type() == Type.TRUTH ? 1 - value : -value;
    }
  }

  /**
   * A binary operation. Division by zero yields NaN, for which {@link Policy} falls back to the
   * shipped rule.
   */
  record Binary(Type type, Operator operator, Expression left, Expression right)
      implements Expression {
    @Override
    public double eval(Map<String, Double> variables) {
      return operator.apply(left.eval(variables), right.eval(variables));
    }
  }

  /** A conditional expression. */
  record Choice(Expression condition, Expression then, Expression otherwise) implements Expression {
    @Override
    public Type type() {
      return then.type();
    }

    @Override
    public double eval(Map<String, Double> variables) {
      return condition.eval(variables) != 0 ? then.eval(variables) : otherwise.eval(variables);
    }
  }
}
