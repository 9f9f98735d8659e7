package gladeknot.fleet;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.workers.Worker;
import java.util.List;
import java.util.Map;

/** What the fleet needs to know of the scheduler. */
public interface SchedulerView {
  /**
   * Pending tasks of one slice.
   *
   * @param job the job that the tasks belong to
   * @param shard the shard that the slice belongs to
   * @param count how many tasks are pending, within the team's quota
   * @param owned whether this controller owns the shard
   * @param starved whether the tasks are late for all their deadlines and newer work overtakes them
   * @param tasksByZone how many of the job's tasks run in each zone
   */
  record PendingTasks(
      Job job,
      int shard,
      int count,
      boolean owned,
      boolean starved,
      Map<String, Integer> tasksByZone) {}

  /** The pending tasks of all shards, in the order in which they would be scheduled. */
  List<PendingTasks> pendingTasks();

  /** How long tasks are expected to run. */
  RuntimeEstimates estimates();

  /** When an attempt is expected to end, in microseconds of the steady clock. */
  long expectedEndMicros(Attempt attempt);

  /** How many replicas of services run on a worker. */
  int replicas(Worker worker);

  /** Active jobs that are services, by time of submission. */
  List<Job> services();

  /** By when a job has to end for its pipeline to be in time, in microseconds of the day's time. */
  long latestEndMicros(Job job);

  /** The priority of an attempt, with what it inherits from jobs that depend on it. */
  JobSpec.Priority priority(Attempt attempt);

  /** Whether a worker may be given new tasks now. */
  boolean isSchedulable(Worker worker);
}
