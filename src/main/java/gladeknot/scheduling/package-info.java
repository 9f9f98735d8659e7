/**
 * Decides which pending tasks start on which machines, and which running tasks are preempted.
 *
 * <p>{@link gladeknot.scheduling.Scheduler} is the entry point. It runs scheduling cycles for each
 * shard that this controller owns. A cycle processes the pending slices in the order of the
 * scheduling queue. It binds their tasks to machines (node filter, node scorer), claims pending
 * tasks of other shards, and reserves resources for tasks that can't start yet, by preemption where
 * that is allowed. The scheduler also reports to the fleet which tasks wait for machines.
 *
 * <p>The package owns no stored state: it adds attempts to slices and has the committer write them.
 * The state that it keeps between cycles (deadline order, guarantees, priority inheritance) is
 * derived from the jobs and slices and recomputed after a failover.
 *
 * <p>It may use lifecycle, quota, commit, workers, tasks, jobs, membership and the packages below
 * them. It must not depend on the fleet.
 */
package gladeknot.scheduling;
