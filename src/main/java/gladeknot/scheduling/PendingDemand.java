package gladeknot.scheduling;

import gladeknot.jobs.Job;
import java.util.Map;

/**
 * Tasks of one slice that wait for resources, as far as their team's quota lets them run.
 *
 * @param job the job whose tasks are pending
 * @param shard the shard of the slice that the tasks are in
 * @param count how many of the slice's pending tasks their quota allows; at least one
 * @param owned whether this controller owns that shard
 * @param starving whether the job has missed all its deadlines and newer work keeps taking
 *     precedence over it
 * @param tasksByZone how many of the job's tasks are in each zone; empty if that doesn't restrict
 *     the zones of the pending ones
 */
public record PendingDemand(
    Job job,
    int shard,
    int count,
    boolean owned,
    boolean starving,
    Map<String, Integer> tasksByZone) {}
