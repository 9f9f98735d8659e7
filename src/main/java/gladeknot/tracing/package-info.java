/**
 * Traces of submissions and attempts.
 *
 * <p>The controller reports to a {@link gladeknot.tracing.TaskTracer}; {@link
 * gladeknot.tracing.FileTracing} creates a tracer that writes OpenTelemetry spans to a file.
 * Tracing does not affect the controller's decisions. The package depends on {@code settings} and
 * {@code json}.
 */
package gladeknot.tracing;
