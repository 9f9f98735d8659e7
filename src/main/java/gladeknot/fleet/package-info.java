/**
 * Sizes the fleet: requests instances from the cloud for tasks that would start too late, keeps
 * capacity for the expected load, registers new machines with shards, transfers idle machines
 * between shards, and releases idle or broken machines.
 *
 * <p>The package owns this state, all in memory: the instance catalogue, scale-out requests in
 * flight, recent job arrivals, unregistered instances, and releases that wait for a call to the
 * cloud. The set of registered machines is stored in the records that {@link
 * gladeknot.fleet.WorkerRecords} writes.
 *
 * <p>The package may depend on lifecycle, commit, workers and the packages below them. {@link
 * gladeknot.fleet.SchedulerView} declares everything that it needs from the scheduler. Only {@code
 * CloudCodec} uses the field names of the cloud's API.
 */
package gladeknot.fleet;
