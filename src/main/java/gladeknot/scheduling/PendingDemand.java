package gladeknot.scheduling;

import gladeknot.jobs.Job;
import java.util.Map;

/**
 * Pending tasks of one slice that wait for resources and are within their team's quota.
 *
 * @param job the job whose tasks are pending
 * @param shard the shard of the slice that the tasks are in
 * @param count the number of the slice's pending tasks that the quota allows; at least one
 * @param owned whether this controller owns that shard
 * @param starving whether the job has missed all its deadlines and newer jobs keep taking
 *     precedence over it
 * @param tasksByZone the number of the job's tasks in each zone; empty if it does not restrict the
 *     zones of the pending tasks
 */
public record PendingDemand(
    Job job,
    int shard,
    int count,
    boolean owned,
    boolean starving,
    Map<String, Integer> tasksByZone) {}
