package gladeknot.policy;

import java.util.Map;

/** A checked expression. Durations are in seconds, truth values 1 and 0. */
interface Expression {
  /** What a value is. */
  enum Type {
    NUMBER,
    DURATION,
    TRUTH
  }

  /** What the expression's value is. */
  Type type();

  /** The value, by those of the variables; one that has none counts as 0. */
  double eval(Map<String, Double> variables);

  /** A constant. */
  record Constant(Type type, double value) implements Expression {
    @Override
    public double eval(Map<String, Double> variables) {
      return value;
    }
  }

  /** A variable's value. */
  record Variable(Type type, String name) implements Expression {
    @Override
    public double eval(Map<String, Double> variables) {
      return variables.getOrDefault(name, 0.0);
    }
  }

  /** A negation, of a truth value or of an amount. */
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

  /** Two values joined; division by zero gives no number, which the policy then deals with. */
  record Binary(Type type, Operator operator, Expression left, Expression right)
      implements Expression {
    @Override
    public double eval(Map<String, Double> variables) {
      return operator.apply(left.eval(variables), right.eval(variables));
    }
  }

  /** One of two values. */
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
