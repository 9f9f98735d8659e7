/**
 * Workers from the controllers' point of view: stored records, heartbeats, and commands.
 *
 * <p>{@link gladeknot.workers.WorkerRegistry} owns one {@link gladeknot.workers.Worker} per
 * machine, with the machine's record, session with this controller, reachability, images and
 * failures. {@link gladeknot.workers.HeartbeatHandler} admits and answers heartbeats, holds
 * heartbeats whose answer may soon carry a run command, and renews leases as another controller's
 * delegate. {@link gladeknot.workers.HeartbeatHandler.Reconciler} determines the effect of a
 * heartbeat on tasks.
 *
 * <p>The terms of the workers' protocol appear only in {@link gladeknot.workers.HeartbeatCodec} and
 * {@link gladeknot.workers.CommandCodec}, except for error texts. The stored form appears only in
 * {@link gladeknot.workers.WorkerRecordCodec}.
 *
 * <p>Uses tasks, jobs, membership, connectivity, state, outbox, json and settings.
 */
package gladeknot.workers;
