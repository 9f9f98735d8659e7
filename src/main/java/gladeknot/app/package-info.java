/**
 * The controller as a whole: its state machine, the wiring of its parts, the process that runs it
 * on one event loop, the command line, and the operators' status listener.
 *
 * <p>{@code Controller} is deterministic: time, requests and replies go in, calls and answers come
 * out of its outbox. {@code ControllerComponents} constructs the parts, and the adapters next to it
 * are the only links from lower packages back to higher ones. {@code ControllerProcess} connects
 * the state machine to the network. Nothing depends on this package.
 */
package gladeknot.app;
