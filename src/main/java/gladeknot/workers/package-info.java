/**
 * Workers as the controllers know them: stored records, heartbeats, and the commands sent to them.
 *
 * <p>{@link gladeknot.workers.WorkerRegistry} owns one {@link gladeknot.workers.Worker} a machine:
 * its record, its session with this controller, its reachability, images and failures. {@link
 * gladeknot.workers.HeartbeatHandler} admits heartbeats and answers them, holds those whose answer
 * may soon carry a run command, and renews leases as another controller's delegate. What a
 * heartbeat means for tasks is decided behind {@link
 * gladeknot.workers.HeartbeatHandler.Reconciler}.
 *
 * <p>The words of the workers' protocol appear in {@link gladeknot.workers.HeartbeatCodec} and
 * {@link gladeknot.workers.CommandCodec} alone, the stored form in {@link
 * gladeknot.workers.WorkerRecordCodec}.
 *
 * <p>Uses tasks, jobs, membership, connectivity, state, outbox, json and settings.
 */
package gladeknot.workers;
