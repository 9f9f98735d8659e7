package gladeknot.policy;

import gladeknot.policy.Expression.Type;
import gladeknot.policy.PolicyLexer.Token;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses a policy text, which has one rule per line. Each line that can't be parsed is a fault. */
final class PolicyParser {
  /** A fault in the text; line and column are counted from 1. */
  record Fault(int line, int column, String message) {
    @Override
    public String toString() {
      return line + ":" + column + ": " + message;
    }
  }

  private final Map<String, Type> settable;
  private final Map<String, Type> variables;
  private final List<Fault> faults = new ArrayList<>();

  /**
   * Creates a parser.
   *
   * @param settable the names that rules can set, with the types of their values
   * @param variables the names that expressions can use, with the types of their values
   */
  PolicyParser(Map<String, Type> settable, Map<String, Type> variables) {
    this.settable = settable;
    this.variables = variables;
  }

  /** Returns the faults found so far, in the order of the lines. */
  List<Fault> faults() {
    return faults;
  }

  /** Parses a text. Returns the valid rules: the expressions by the names that they set. */
  Map<String, Expression> parse(String text) {
    Map<String, Expression> rules = new LinkedHashMap<>();
    int lineNumber = 0;
    for (String line : text.split("\n", -1)) {
      lineNumber++;
      try {
        parseLine(line, rules);
      } catch (PolicySyntaxException e) {
        faults.add(new Fault(lineNumber, e.column(), e.getMessage()));
      }
    }
    return rules;
  }

  private void parseLine(String line, Map<String, Expression> rules) {
    TokenCursor cursor = new TokenCursor(PolicyLexer.tokens(line), line.length() + 1);
    if (!cursor.atEnd()) {
      parseRule(cursor, rules);
    }
  }

  private void parseRule(TokenCursor cursor, Map<String, Expression> rules) {
    Token name = cursor.take();
    Type type = settable.get(name.text());
    if (type == null) {
      throw new PolicySyntaxException(name.column(), "unknown name " + name.text());
    }
    if (rules.containsKey(name.text())) {
      throw new PolicySyntaxException(name.column(), name.text() + " is set twice");
    }
    cursor.expect("=");
    int column = cursor.column();
    Expression value = new ExpressionParser(cursor, variables).parse();
    cursor.expectEnd();
    if (value.type() != type) {
      throw new PolicySyntaxException(column, wrongTypeMessage(name, type, value.type()));
    }
    rules.put(name.text(), value);
  }

  private static String wrongTypeMessage(Token name, Type expected, Type actual) {
    return name.text()
        + " must be a "
        + TypeChecker.typeName(expected)
        + ", this is a "
        + TypeChecker.typeName(actual);
  }
}
