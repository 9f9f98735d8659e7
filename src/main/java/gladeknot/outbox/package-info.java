/**
 * The controller's outgoing calls to other services, answers to requests, and messages to other
 * controllers.
 *
 * <p>The state machine only adds to the {@link gladeknot.outbox.Outbox}. The process around it, or
 * a test, drains the outbox and delivers the replies. Uses only {@code peer} and {@code json}.
 */
package gladeknot.outbox;
