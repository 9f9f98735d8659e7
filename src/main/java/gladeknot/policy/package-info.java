/**
 * The policy language for operators: named rules with numbers, durations and conditions.
 *
 * <p>A text is parsed line by line: {@code PolicyLexer} splits a line into tokens, {@code
 * ExpressionParser} parses the expression, and {@code TypeChecker} checks types and units while the
 * expression is built. {@link gladeknot.policy.Policy} evaluates the rules and limits each result
 * to its range. Operators' rules override the shipped rules. The package uses only {@code
 * settings}.
 */
package gladeknot.policy;
