package gladeknot.fleet;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.workers.Worker;
import java.util.List;
import java.util.Map;

/** The scheduler's state as the fleet uses it. */
public interface SchedulerView {
  /**
   * The pending tasks of one slice.
   *
   * @param job the job that the tasks belong to
   * @param shard the shard that the slice belongs to
   * @param count the number of pending tasks that the team's quota allows
   * @param owned whether this controller owns the shard
   * @param starving whether the job has missed all its deadlines and newer jobs keep taking
   *     precedence over it
   * @param tasksByZone the number of the job's tasks that run in each zone
   */
  record PendingTasks(
      Job job,
      int shard,
      int count,
      boolean owned,
      boolean starving,
      Map<String, Integer> tasksByZone) {}

  /** Returns the pending tasks of all shards, in the order in which they would be scheduled. */
  List<PendingTasks> pendingTasks();

  /** Returns the estimates of how long tasks run. */
  RuntimeEstimates estimates();

  /** Returns the expected end of an attempt, in microseconds of the steady clock. */
  long expectedEndMicros(Attempt attempt);

  /** Returns the number of replicas of services that run on a worker. */
  int replicas(Worker worker);

  /** Returns the active jobs that are services, ordered by time of submission. */
  List<Job> services();

  /**
   * Returns the latest time at which a job may end for its own deadline and for the deadlines of
   * the jobs that depend on it, in microseconds of the time of day.
   */
  long latestEndMicros(Job job);

  /**
   * Returns the priority of an attempt, including the priority that its job inherits from jobs that
   * depend on it.
   */
  JobSpec.Priority priority(Attempt attempt);

  /** Returns whether new tasks may be placed on a worker now. */
  boolean isSchedulable(Worker worker);
}
