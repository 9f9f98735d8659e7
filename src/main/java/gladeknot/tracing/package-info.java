/**
 * Traces of submissions and attempts.
 *
 * <p>The controller reports to a {@link gladeknot.tracing.TaskTracer}; {@link
 * gladeknot.tracing.FileTracing} sets one up that writes OpenTelemetry spans to a file. Tracing
 * decides nothing: without it the controller does the same. Uses {@code settings} and {@code json}.
 */
package gladeknot.tracing;
