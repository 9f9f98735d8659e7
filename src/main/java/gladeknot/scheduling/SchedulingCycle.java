package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.TaskRequirements;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * State of one scheduling cycle, which is one pass over the machines of one shard and all slices
 * with pending tasks.
 *
 * <p>Free resources only shrink during a cycle. Requirements that no machine satisfies are
 * therefore recorded, so that one search serves all slices with equal requirements.
 */
final class SchedulingCycle {
  private final int shard;
  private final long nowMicros;
  private final long wallMicros;
  private final List<CandidateMachine> machines;
  private final RemainingQuota quota;
  private final Set<TaskRequirements> infeasible = new HashSet<>();
  private final Set<TaskRequirements> infeasibleAfterTermination = new HashSet<>();

  SchedulingCycle(
      int shard,
      long nowMicros,
      long wallMicros,
      List<CandidateMachine> machines,
      RemainingQuota quota) {
    this.shard = shard;
    this.nowMicros = nowMicros;
    this.wallMicros = wallMicros;
    this.machines = machines;
    this.quota = quota;
  }

  int shard() {
    return shard;
  }

  /** Returns the monotonic time of the cycle, in microseconds. */
  long nowMicros() {
    return nowMicros;
  }

  /** Returns the time of day of the cycle, in microseconds. */
  long wallMicros() {
    return wallMicros;
  }

  /** Returns the schedulable machines of the shard. */
  List<CandidateMachine> machines() {
    return machines;
  }

  RemainingQuota quota() {
    return quota;
  }

  /**
   * Returns whether no machine has free resources for tasks with the requirements; false for null.
   */
  boolean isInfeasible(TaskRequirements requirements) {
    return infeasible.contains(requirements);
  }

  /** Records that no machine has free resources for tasks with the requirements; ignores null. */
  void markInfeasible(TaskRequirements requirements) {
    if (requirements != null) {
      infeasible.add(requirements);
    }
  }

  /**
   * Returns whether no machine will have resources for tasks with the requirements even once the
   * terminating tasks have exited; false for null.
   */
  boolean isInfeasibleAfterTermination(TaskRequirements requirements) {
    return infeasibleAfterTermination.contains(requirements);
  }

  /**
   * Records that no machine will have resources for tasks with the requirements even once the
   * terminating tasks have exited; ignores null.
   */
  void markInfeasibleAfterTermination(TaskRequirements requirements) {
    if (requirements != null) {
      infeasibleAfterTermination.add(requirements);
    }
  }

  /**
   * Discards the records on terminating tasks, because a preempted task will free further
   * resources.
   */
  void onPreemption() {
    infeasibleAfterTermination.clear();
  }

  /**
   * Requests quota for pending tasks that exceed it. Only tasks for which the machines have free
   * resources, or may get some by preemption, count. If a gang has any such task, all tasks of the
   * gang count.
   */
  void requestQuota(JobSpec spec, int pendingTasks, int allowedTasks) {
    long capacity = capacityFor(spec, pendingTasks);
    boolean gang = spec.shape() == JobSpec.Shape.GANG;
    long count = gang ? pendingTasks : Math.min(capacity, pendingTasks);
    if (capacity > 0 && count > allowedTasks) {
      quota.reportDeficit(spec, count);
    }
  }

  /**
   * Returns the number of tasks that the machines have resources for. Stops at the wanted number.
   */
  private long capacityFor(JobSpec spec, int wanted) {
    // For priorities other than normal, each machine counts for at least one task, because its
    // resources may become free.
    int minTasksPerMachine = spec.priority() == JobSpec.Priority.NORMAL ? 0 : 1;
    long capacity = 0;
    for (CandidateMachine machine : machines) {
      if (capacity >= wanted) {
        break;
      }
      if (NodeFilter.satisfiesConstraints(spec, machine)) {
        capacity += Math.max(machine.capacityFor(spec), minTasksPerMachine);
      }
    }
    return capacity;
  }
}
