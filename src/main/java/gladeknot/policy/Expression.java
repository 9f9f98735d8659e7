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

  Type type();

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
  record Negation(Expression of) implements Expression {
    @Override
    public Type type() {
      return of.type();
    }

    @Override
    public double eval(Map<String, Double> variables) {
      double v = of.eval(variables);
      return type() == Type.TRUTH ? 1 - v : -v;
    }
  }

  /** Two values joined; division by zero gives no number, which the policy then deals with. */
  record Binary(Type type, String op, Expression left, Expression right) implements Expression {
    @Override
    public double eval(Map<String, Double> variables) {
      double a = left.eval(variables);
      double b = right.eval(variables);
      return switch (op) {
        case "+" -> a + b;
        case "-" -> a - b;
        case "*" -> a * b;
        case "/" -> b == 0 ? Double.NaN : a / b;
        case "<" -> a < b ? 1 : 0;
        case "<=" -> a <= b ? 1 : 0;
        case ">" -> a > b ? 1 : 0;
        case ">=" -> a >= b ? 1 : 0;
        case "==" -> a == b ? 1 : 0;
        case "!=" -> a != b ? 1 : 0;
        case "and" -> Math.min(a, b);
        case "or" -> Math.max(a, b);
        case "min" -> Math.min(a, b);
        case "max" -> Math.max(a, b);
        default -> throw new IllegalStateException(op);
      };
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
