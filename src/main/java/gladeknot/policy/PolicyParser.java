package gladeknot.policy;

import gladeknot.policy.Expression.Type;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads a policy text and checks names, types and units; faults tell their line and column. */
final class PolicyParser {
  /** A fault of the text. */
  record Fault(int line, int column, String message) {
    @Override
    public String toString() {
      return line + ":" + column + ": " + message;
    }
  }

  private static final class PolicySyntaxException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final int column;

    PolicySyntaxException(int column, String message) {
      super(message, null, false, false);
      this.column = column;
    }
  }

  private record Token(String text, int column) {}

  private static final Pattern TOKEN =
      Pattern.compile(
          "\\s+|#.*|(?<t>[0-9]+(\\.[0-9]+)?|[A-Za-z_][A-Za-z_0-9]*|<=|>=|==|!=|[-+*/<>()=,])");
  private static final List<String> RELATIONS = List.of("<", "<=", ">", ">=", "==", "!=");
  private static final int DEEPEST = 40;

  private final Map<String, Type> settable;
  private final Map<String, Type> variables;
  private final List<Fault> faults = new ArrayList<>();
  private List<Token> tokens = List.of();
  private int next;
  private int end;
  private int depth;

  PolicyParser(Map<String, Type> settable, Map<String, Type> variables) {
    this.settable = settable;
    this.variables = variables;
  }

  List<Fault> faults() {
    return faults;
  }

  /** The expressions by the names that they set. */
  Map<String, Expression> parse(String text) {
    Map<String, Expression> rules = new LinkedHashMap<>();
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      try {
        tokens = tokens(line);
        next = 0;
        depth = 0;
        end = line.length() + 1;
        if (!tokens.isEmpty()) {
          rule(rules);
        }
      } catch (PolicySyntaxException e) {
        faults.add(new Fault(number, e.column, e.getMessage()));
      }
    }
    return rules;
  }

  private void rule(Map<String, Expression> rules) {
    Token name = take();
    Type wanted = settable.get(name.text());
    if (wanted == null) {
      throw new PolicySyntaxException(name.column(), "unknown name " + name.text());
    }
    if (rules.containsKey(name.text())) {
      throw new PolicySyntaxException(name.column(), name.text() + " is set twice");
    }
    expect("=");
    int column = column();
    Expression value = or();
    if (next < tokens.size()) {
      throw new PolicySyntaxException(column(), "unexpected " + tokens.get(next).text());
    }
    if (value.type() != wanted) {
      throw new PolicySyntaxException(
          column, name.text() + " must be a " + word(wanted) + ", this is a " + word(value.type()));
    }
    rules.put(name.text(), value);
  }

  private static String word(Type type) {
    return type.name().toLowerCase(java.util.Locale.ROOT);
  }

  private static List<Token> tokens(String line) {
    List<Token> found = new ArrayList<>();
    Matcher m = TOKEN.matcher(line);
    int at = 0;
    while (at < line.length()) {
      if (!m.find(at) || m.start() != at) {
        throw new PolicySyntaxException(at + 1, "unexpected character " + line.charAt(at));
      }
      if (m.group("t") != null) {
        found.add(new Token(m.group("t"), at + 1));
      }
      at = m.end();
    }
    return found;
  }

  private int column() {
    return next < tokens.size() ? tokens.get(next).column() : end;
  }

  private Token take() {
    if (next >= tokens.size()) {
      throw new PolicySyntaxException(end, "something is missing here");
    }
    return tokens.get(next++);
  }

  private boolean at(String text) {
    return next < tokens.size() && tokens.get(next).text().equals(text);
  }

  private void expect(String text) {
    int column = column();
    if (!at(text)) {
      throw new PolicySyntaxException(column, "expected " + text);
    }
    next++;
  }

  private Expression or() {
    Expression left = and();
    while (at("or")) {
      left = truths(take(), left, and());
    }
    return left;
  }

  private Expression and() {
    Expression left = relation();
    while (at("and")) {
      left = truths(take(), left, relation());
    }
    return left;
  }

  private static Expression truths(Token op, Expression left, Expression right) {
    if (left.type() != Type.TRUTH || right.type() != Type.TRUTH) {
      throw new PolicySyntaxException(op.column(), op.text() + " joins truth values");
    }
    return new Expression.Binary(Type.TRUTH, op.text(), left, right);
  }

  private Expression relation() {
    Expression left = sum();
    if (next < tokens.size() && RELATIONS.contains(tokens.get(next).text())) {
      Token op = take();
      Expression right = sum();
      same(op, left, right);
      return new Expression.Binary(Type.TRUTH, op.text(), left, right);
    }
    return left;
  }

  private static void same(Token op, Expression left, Expression right) {
    if (left.type() != right.type()) {
      throw new PolicySyntaxException(
          op.column(),
          op.text() + " joins a " + word(left.type()) + " and a " + word(right.type()));
    }
  }

  private Expression sum() {
    Expression left = product();
    while (at("+") || at("-")) {
      Token op = take();
      Expression right = product();
      same(op, left, right);
      amount(op, left);
      left = new Expression.Binary(left.type(), op.text(), left, right);
    }
    return left;
  }

  private static void amount(Token op, Expression e) {
    if (e.type() == Type.TRUTH) {
      throw new PolicySyntaxException(op.column(), op.text() + " takes no truth values");
    }
  }

  private Expression product() {
    Expression left = unary();
    while (at("*") || at("/")) {
      Token op = take();
      Expression right = unary();
      amount(op, left);
      amount(op, right);
      boolean times = op.text().equals("*");
      Type type = left.type();
      if (left.type() == Type.DURATION && right.type() == Type.DURATION) {
        if (times) {
          throw new PolicySyntaxException(
              op.column(), "a duration times a duration has no meaning");
        }
        type = Type.NUMBER;
      } else if (right.type() == Type.DURATION) {
        if (!times) {
          throw new PolicySyntaxException(op.column(), "a number over a duration has no meaning");
        }
        type = Type.DURATION;
      }
      left = new Expression.Binary(type, op.text(), left, right);
    }
    return left;
  }

  private Expression unary() {
    if (++depth > DEEPEST) {
      throw new PolicySyntaxException(column(), "too deep");
    }
    try {
      if (at("-")) {
        Token op = take();
        Expression of = unary();
        amount(op, of);
        return new Expression.Negation(of);
      }
      if (at("not")) {
        Token op = take();
        Expression of = unary();
        if (of.type() != Type.TRUTH) {
          throw new PolicySyntaxException(op.column(), "not takes a truth value");
        }
        return new Expression.Negation(of);
      }
      return primary();
    } finally {
      depth--;
    }
  }

  private Expression primary() {
    Token t = take();
    if (t.text().equals("(")) {
      Expression inner = or();
      expect(")");
      return inner;
    }
    if (Character.isDigit(t.text().charAt(0))) {
      return constant(Double.parseDouble(t.text()));
    }
    switch (t.text()) {
      case "true", "false" -> {
        return new Expression.Constant(Type.TRUTH, t.text().equals("true") ? 1 : 0);
      }
      case "min", "max" -> {
        expect("(");
        Expression a = or();
        expect(",");
        Expression b = or();
        expect(")");
        same(t, a, b);
        amount(t, a);
        return new Expression.Binary(a.type(), t.text(), a, b);
      }
      case "if" -> {
        expect("(");
        Expression c = or();
        if (c.type() != Type.TRUTH) {
          throw new PolicySyntaxException(t.column(), "if needs a truth value first");
        }
        expect(",");
        Expression a = or();
        expect(",");
        Expression b = or();
        expect(")");
        same(t, a, b);
        return new Expression.Choice(c, a, b);
      }
      default -> {
        Type type = variables.get(t.text());
        if (type == null) {
          throw new PolicySyntaxException(t.column(), "unknown variable " + t.text());
        }
        return new Expression.Variable(type, t.text());
      }
    }
  }

  private Expression constant(double value) {
    if (next < tokens.size()) {
      double unit =
          switch (tokens.get(next).text()) {
            case "ms" -> 0.001;
            case "s" -> 1;
            case "min" ->
                next + 1 < tokens.size() && tokens.get(next + 1).text().equals("(") ? 0 : 60;
            default -> 0;
          };
      if (unit > 0) {
        next++;
        return new Expression.Constant(Type.DURATION, value * unit);
      }
    }
    return new Expression.Constant(Type.NUMBER, value);
  }
}
