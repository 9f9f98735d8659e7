package gladeknot.policy;

import gladeknot.policy.PolicyLexer.Token;
import java.util.List;

/** Iterates over the tokens of a line, with lookahead. */
final class TokenCursor {
  private final List<Token> tokens;
  private final int endColumn;
  private int nextIndex;

  /**
   * Creates a cursor before the first token.
   *
   * @param endColumn the column after the last column of the line
   */
  TokenCursor(List<Token> tokens, int endColumn) {
    this.tokens = tokens;
    this.endColumn = endColumn;
  }

  boolean atEnd() {
    return nextIndex >= tokens.size();
  }

  /** Returns whether the next token has the given text. */
  boolean at(String text) {
    return textAhead(0).equals(text);
  }

  /** Returns whether the next token has one of the given texts. */
  boolean atAny(List<String> texts) {
    return !atEnd() && texts.contains(textAhead(0));
  }

  /**
   * Returns the text of a token ahead; empty beyond the end.
   *
   * @param count the number of tokens between the cursor and the token; 0 for the next token
   */
  String textAhead(int count) {
    return nextIndex + count < tokens.size() ? tokens.get(nextIndex + count).text() : "";
  }

  /** Returns the column of the next token, or the end column at the end. */
  int column() {
    return atEnd() ? endColumn : tokens.get(nextIndex).column();
  }

  /**
   * Returns the next token and advances past it.
   *
   * @throws PolicySyntaxException at the end
   */
  Token take() {
    if (atEnd()) {
      throw new PolicySyntaxException(endColumn, "something is missing here");
    }
    return tokens.get(nextIndex++);
  }

  /**
   * Advances past the next token.
   *
   * @throws PolicySyntaxException if the next token does not have the given text
   */
  void expect(String text) {
    if (!at(text)) {
      throw new PolicySyntaxException(column(), "expected " + text);
    }
    nextIndex++;
  }

  /**
   * Checks that the cursor is at the end.
   *
   * @throws PolicySyntaxException if there is another token
   */
  void expectEnd() {
    if (!atEnd()) {
      throw new PolicySyntaxException(column(), "unexpected " + textAhead(0));
    }
  }
}
