package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.TaskRequirements;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The state of one scheduling cycle, which is one pass over the machines of one shard and all
 * slices with pending tasks.
 *
 * <p>Free resources only shrink during a cycle. So requirements that no machine satisfies are
 * remembered, and one search serves all slices that have the same ones.
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

  /** The monotonic time of the cycle. */
  long nowMicros() {
    return nowMicros;
  }

  /** The time of day of the cycle. */
  long wallMicros() {
    return wallMicros;
  }

  /** The shard's schedulable machines. */
  List<CandidateMachine> machines() {
    return machines;
  }

  RemainingQuota quota() {
    return quota;
  }

  /** Whether no machine has free resources for such tasks; false for null. */
  boolean isInfeasible(TaskRequirements requirements) {
    return infeasible.contains(requirements);
  }

  /** Notes that no machine has free resources for such tasks; null is ignored. */
  void markInfeasible(TaskRequirements requirements) {
    if (requirements != null) {
      infeasible.add(requirements);
    }
  }

  /** Whether no machine will do for such tasks even once the terminating ones have exited. */
  boolean isInfeasibleAfterTermination(TaskRequirements requirements) {
    return infeasibleAfterTermination.contains(requirements);
  }

  /** Notes that no machine will do even once the terminating tasks have exited. */
  void markInfeasibleAfterTermination(TaskRequirements requirements) {
    if (requirements != null) {
      infeasibleAfterTermination.add(requirements);
    }
  }

  /** A task is preempted: more resources become free than was known. */
  void onPreemption() {
    infeasibleAfterTermination.clear();
  }

  /**
   * Requests quota for the tasks that exceed it, as far as the machines have free resources for
   * them or may get some by preemption.
   */
  void requestQuota(JobSpec spec, int pendingTasks, int allowedTasks) {
    long capacity = capacityFor(spec, pendingTasks);
    boolean gang = spec.shape() == JobSpec.Shape.GANG;
    long count = gang ? pendingTasks : Math.min(capacity, pendingTasks);
    if (capacity > 0 && count > allowedTasks) {
      quota.reportDeficit(spec, count);
    }
  }

  /** How many tasks the machines have resources for; counts no further than needed. */
  private long capacityFor(JobSpec spec, int needed) {
    // At any priority but normal each machine counts for a task at least: it may get free.
    int least = spec.priority() == JobSpec.Priority.NORMAL ? 0 : 1;
    long capacity = 0;
    for (CandidateMachine machine : machines) {
      if (capacity >= needed) {
        break;
      }
      if (NodeFilter.satisfiesConstraints(spec, machine)) {
        capacity += Math.max(machine.capacityFor(spec), least);
      }
    }
    return capacity;
  }
}
