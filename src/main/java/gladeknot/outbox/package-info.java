/**
 * What the controller's state machine wants sent: calls to other services, answers to requests, and
 * messages to the other controllers.
 *
 * <p>The state machine only fills the {@link gladeknot.outbox.Outbox}; the process around it, or a
 * test, drains it and brings the replies back. Uses {@code peer} and {@code json} alone.
 */
package gladeknot.outbox;
