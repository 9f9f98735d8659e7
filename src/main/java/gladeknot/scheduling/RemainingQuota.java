package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.quota.QuotaAllocator;
import gladeknot.quota.ResourceAmount;
import java.util.HashMap;
import java.util.Map;

/** Remaining quota of each team in one shard during a scheduling cycle. */
final class RemainingQuota {
  private final QuotaAllocator allocator;
  private final int shard;
  private final Map<String, ResourceAmount> remaining = new HashMap<>();

  RemainingQuota(QuotaAllocator allocator, int shard) {
    this.allocator = allocator;
    this.shard = shard;
  }

  /** Returns the number of tasks of a job that the remaining quota allows; never negative. */
  int allowedTasks(JobSpec spec) {
    long count = tasksWithin(remainingOf(spec.team()), spec);
    return (int) Math.max(0, Math.min(count, Integer.MAX_VALUE));
  }

  /** Returns the number of tasks of a job that an amount suffices for; may be negative. */
  static long tasksWithin(ResourceAmount amount, JobSpec spec) {
    long count = amount.cpus() / spec.cpus();
    return spec.gpus() > 0 ? Math.min(count, amount.gpus() / spec.gpus()) : count;
  }

  /** Returns the amount that {@code count} tasks of a job use. */
  static ResourceAmount amountOf(JobSpec spec, long count) {
    return ResourceAmount.of(spec.cpus(), spec.gpus()).times(count);
  }

  /** Returns an amount less what {@code count} tasks of a job use. */
  static ResourceAmount subtract(ResourceAmount amount, JobSpec spec, long count) {
    return amount.minus(amountOf(spec, count));
  }

  /** Subtracts what {@code count} tasks of a job use, for the rest of the cycle. */
  void charge(JobSpec spec, int count) {
    if (count > 0) {
      allocator.logDecision(spec, shard, count);
    }
    remaining.put(spec.team(), subtract(remainingOf(spec.team()), spec, count));
  }

  /**
   * Reserves quota for {@code count} tasks of a job, so that the shard does not transfer it to
   * other shards.
   */
  void reserve(JobSpec spec, int count) {
    allocator.reserve(spec.team(), shard, amountOf(spec, count));
  }

  /**
   * Reports the quota that is missing for {@code count} tasks of a job, so that other shards
   * transfer some.
   */
  void reportDeficit(JobSpec spec, long count) {
    ResourceAmount missing = amountOf(spec, count).minus(remainingOf(spec.team()));
    allocator.reportDeficit(spec.team(), shard, missing.atLeastZero());
  }

  private ResourceAmount remainingOf(String team) {
    return remaining.computeIfAbsent(team, name -> allocator.available(name, shard));
  }
}
