/**
 * Sizes the fleet: requests instances from the cloud for tasks that would start too late, keeps
 * capacity for the load that is to be expected, registers new machines with shards, moves idle
 * machines between shards, and releases what is idle or broken.
 *
 * <p>State it owns, all in memory: the instance catalogue, scale-out requests in flight, arrivals
 * of late, unregistered instances, and releases that wait for a call. Which machines are registered
 * is stored by the records that {@link gladeknot.fleet.WorkerRecords} writes.
 *
 * <p>It may use lifecycle, commit, workers and what is beneath them. What it needs of the scheduler
 * stands in {@link gladeknot.fleet.SchedulerView}. The cloud's words appear in {@code CloudCodec}
 * alone.
 */
package gladeknot.fleet;
