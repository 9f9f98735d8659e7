package gladeknot.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Splits a line of a policy into tokens; skips whitespace and comments. */
final class PolicyLexer {
  /** A number, a name or an operator, with its column counted from 1. */
  record Token(String text, int column) {
    boolean isNumber() {
      return Character.isDigit(text.charAt(0));
    }
  }

  private static final Pattern TOKEN =
      Pattern.compile(
          "\\s+|#.*|(?<token>[0-9]+(\\.[0-9]+)?|[A-Za-z_][A-Za-z_0-9]*|<=|>=|==|!=|[-+*/<>()=,])");
  private static final String TOKEN_GROUP = "token";

  private PolicyLexer() {}

  /**
   * Returns the tokens of a line.
   *
   * @throws PolicySyntaxException at the first character that can't begin a token
   */
  static List<Token> tokens(String line) {
    List<Token> tokens = new ArrayList<>();
    Matcher matcher = TOKEN.matcher(line);
    int position = 0;
    while (position < line.length()) {
      if (!matcher.find(position) || matcher.start() != position) {
        throw new PolicySyntaxException(
            position + 1, "unexpected character " + line.charAt(position));
      }
      if (matcher.group(TOKEN_GROUP) != null) {
        tokens.add(new Token(matcher.group(TOKEN_GROUP), position + 1));
      }
      position = matcher.end();
    }
    return tokens;
  }
}
