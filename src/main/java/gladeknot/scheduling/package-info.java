/**
 * Decides which pending tasks start on which machines, and which running tasks are preempted.
 *
 * <p>{@link gladeknot.scheduling.Scheduler} is the entry: for each shard that this controller owns
 * it runs scheduling cycles. A cycle takes the pending slices in the order of the scheduling queue,
 * binds their tasks to machines (node filter, node scorer), claims pending tasks of other shards,
 * and reserves resources for what can't start yet, by preemption where that is allowed. It also
 * reports to the fleet which tasks wait for machines.
 *
 * <p>The package owns no stored state: it adds attempts to slices and has the committer write them.
 * What it keeps between cycles (deadline order, guarantees, priority inheritance) is derived from
 * the jobs and slices and computed anew after a takeover.
 *
 * <p>It may use lifecycle, quota, commit, workers, tasks, jobs, membership and what lies beneath
 * them; it must not know the fleet.
 */
package gladeknot.scheduling;
