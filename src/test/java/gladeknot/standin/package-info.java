/**
 * Fakes of everything around the controllers, for tests and for trying the software out.
 *
 * <p>{@link gladeknot.standin.FakeStateStore}, {@link gladeknot.standin.FakeCloud} and {@link
 * gladeknot.standin.FakeWorker} implement the protocol's other sides in memory. Two hosts use them:
 *
 * <ul>
 *   <li>{@link gladeknot.standin.SimulatedCluster} runs them with real controllers in one thread
 *       under simulated time, injects faults and checks the protocol's rules at every step;
 *   <li>{@code LoopbackServices} offers them as HTTP services, for tests that start controllers as
 *       processes and for {@link gladeknot.standin.StandInServer}, the program that README names.
 * </ul>
 */
package gladeknot.standin;
