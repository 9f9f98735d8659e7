package gladeknot.policy;

import gladeknot.policy.PolicyLexer.Token;
import java.util.List;

/** Walks over the tokens of a line. */
final class TokenCursor {
  private final List<Token> tokens;
  private final int endColumn;
  private int next;

  /** A cursor before the first token; the end column is the one after the line's last. */
  TokenCursor(List<Token> tokens, int endColumn) {
    this.tokens = tokens;
    this.endColumn = endColumn;
  }

  boolean atEnd() {
    return next >= tokens.size();
  }

  /** Whether the next token has a text. */
  boolean at(String text) {
    return textAhead(0).equals(text);
  }

  /** Whether the next token has one of some texts. */
  boolean atAny(List<String> texts) {
    return !atEnd() && texts.contains(textAhead(0));
  }

  /** The text of the token so many after the next one; empty beyond the end. */
  String textAhead(int count) {
    return next + count < tokens.size() ? tokens.get(next + count).text() : "";
  }

  /** The column of the next token. */
  int column() {
    return atEnd() ? endColumn : tokens.get(next).column();
  }

  /** Takes the next token; fails at the end. */
  Token take() {
    if (atEnd()) {
      throw new PolicySyntaxException(endColumn, "something is missing here");
    }
    return tokens.get(next++);
  }

  /** Takes the next token, which must have a text. */
  void expect(String text) {
    if (!at(text)) {
      throw new PolicySyntaxException(column(), "expected " + text);
    }
    next++;
  }

  /** Fails unless all tokens are taken. */
  void expectEnd() {
    if (!atEnd()) {
      throw new PolicySyntaxException(column(), "unexpected " + textAhead(0));
    }
  }
}
