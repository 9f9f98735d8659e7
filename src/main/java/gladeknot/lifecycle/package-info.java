/**
 * Tracks attempts between the commit of their start and the commit of their end, and commits the
 * final states of jobs.
 *
 * <p>{@link gladeknot.lifecycle.TaskLifecycle} is the entry point. Behind it heartbeats are
 * reconciled with records, kills are dispatched, leases expire, spot machines that are reclaimed
 * are drained, and completed jobs are committed. The package owns the pending kills, the runtime
 * estimates and the request for a scheduling round; attempts and slices belong to package tasks,
 * and commits go through package commit.
 *
 * <p>Uses commit, workers, tasks, jobs, membership, connectivity, state, outbox, settings and
 * tracing. It must not use scheduling and fleet, which use this package.
 */
package gladeknot.lifecycle;
