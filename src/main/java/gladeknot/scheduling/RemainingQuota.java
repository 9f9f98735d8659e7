package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.quota.QuotaAllocator;
import gladeknot.quota.ResourceAmount;
import java.util.HashMap;
import java.util.Map;

/** What is left of each team's quota in one shard while a scheduling cycle uses it up. */
final class RemainingQuota {
  private final QuotaAllocator allocator;
  private final int shard;
  private final Map<String, ResourceAmount> remaining = new HashMap<>();

  RemainingQuota(QuotaAllocator allocator, int shard) {
    this.allocator = allocator;
    this.shard = shard;
  }

  /** How many tasks of a job the quota allows. */
  int allowedTasks(JobSpec spec) {
    long count = tasksWithin(of(spec.team()), spec);
    return (int) Math.max(0, Math.min(count, Integer.MAX_VALUE));
  }

  /** How many tasks of a job an amount of resources suffices for; may be negative. */
  static long tasksWithin(ResourceAmount amount, JobSpec spec) {
    long count = amount.cpus() / spec.cpus();
    return spec.gpus() > 0 ? Math.min(count, amount.gpus() / spec.gpus()) : count;
  }

  /** What so many tasks of a job use. */
  static ResourceAmount amountOf(JobSpec spec, long count) {
    return new ResourceAmount(spec.cpus() * count, spec.gpus() * count);
  }

  /** An amount less what so many tasks of a job use. */
  static ResourceAmount subtract(ResourceAmount amount, JobSpec spec, long count) {
    return new ResourceAmount(
        amount.cpus() - spec.cpus() * count, amount.gpus() - spec.gpus() * count);
  }

  /** Takes what so many tasks of a job use, for the rest of the cycle. */
  void charge(JobSpec spec, int count) {
    if (count > 0) {
      allocator.logDecision(spec, shard, count);
    }
    remaining.put(spec.team(), subtract(of(spec.team()), spec, count));
  }

  /** Keeps the shard from transferring to others what so many tasks of a job will use. */
  void reserve(JobSpec spec, int count) {
    allocator.reserve(spec.team(), shard, amountOf(spec, count));
  }

  /** Reports what is missing for so many tasks of a job, so that other shards transfer it. */
  void reportDeficit(JobSpec spec, long count) {
    ResourceAmount available = of(spec.team());
    allocator.reportDeficit(
        spec.team(),
        shard,
        new ResourceAmount(
            Math.max(0, spec.cpus() * count - available.cpus()),
            Math.max(0, spec.gpus() * count - available.gpus())));
  }

  private ResourceAmount of(String team) {
    return remaining.computeIfAbsent(team, name -> allocator.available(name, shard));
  }
}
