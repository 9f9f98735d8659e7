/**
 * Fakes of the services and workers around the controllers, for tests and for local trials.
 *
 * <p>{@link gladeknot.standin.FakeStateStore}, {@link gladeknot.standin.FakeCloud} and {@link
 * gladeknot.standin.FakeWorker} implement the other side of each protocol in memory. Two
 * environments use them:
 *
 * <ul>
 *   <li>{@link gladeknot.standin.SimulatedCluster} runs them with real controllers in one thread
 *       under simulated time, injects faults and checks the invariants at every step;
 *   <li>{@code LoopbackServices} serves them over HTTP on loopback, for tests that start
 *       controllers as processes and for {@link gladeknot.standin.StandInServer}, the program that
 *       README names.
 * </ul>
 */
package gladeknot.standin;
