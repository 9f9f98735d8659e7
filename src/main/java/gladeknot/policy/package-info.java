/**
 * The operators' policy language: named rules with numbers, durations and conditions.
 *
 * <p>A text is read line by line: {@code PolicyLexer} splits a line into tokens, {@code
 * ExpressionParser} reads the expression, and {@code TypeChecker} checks types and units as it
 * grows. {@link gladeknot.policy.Policy} evaluates the rules, the operators' over the shipped ones,
 * and keeps each result within its range. Uses {@code settings} alone.
 */
package gladeknot.policy;
