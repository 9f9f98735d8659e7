/**
 * The controller as a whole: its state machine, the wiring of its components, the process that runs
 * it on one event loop, the command line, and the operators' status listener.
 *
 * <p>{@code Controller} is deterministic: its inputs are the time, requests and replies; its
 * outputs are the calls and answers in its outbox. {@code ControllerComponents} constructs the
 * components, and the adapters next to it are the only connections from lower packages back to
 * higher ones. {@code ControllerProcess} connects the state machine to the network. Nothing depends
 * on this package.
 */
package gladeknot.app;
