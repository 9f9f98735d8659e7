package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;
import gladeknot.quota.QuotaAllocator;
import gladeknot.quota.ResourceAmount;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Computes which pending tasks need machines, so that the fleet can scale out for them. */
final class ScaleOutDemand {
  private final Policy policy;
  private final SliceRegistry slices;
  private final QuotaAllocator quotaAllocator;
  private final SchedulingQueue queue;
  private final DeadlineOrder deadlineOrder;
  private final Supplier<List<String>> offeredZones;

  ScaleOutDemand(
      Policy policy,
      SliceRegistry slices,
      QuotaAllocator quotaAllocator,
      SchedulingQueue queue,
      DeadlineOrder deadlineOrder,
      Supplier<List<String>> offeredZones) {
    this.policy = policy;
    this.slices = slices;
    this.quotaAllocator = quotaAllocator;
    this.queue = queue;
    this.deadlineOrder = deadlineOrder;
    this.offeredZones = offeredZones;
  }

  /** The pending tasks of all shards, in the order in which they would get machines. */
  List<PendingDemand> compute(long nowMicros, long wallMicros) {
    List<PendingDemand> demand = new ArrayList<>();
    Map<String, ResourceAmount> headroom = new HashMap<>();
    for (PendingSlice pending : queue.forDemand(nowMicros, wallMicros)) {
      JobSpec spec = pending.spec();
      ResourceAmount available =
          headroom.computeIfAbsent(spec.team(), quotaAllocator::clusterHeadroom);
      long count = runnableTasks(pending, available);
      if (count > 0) {
        headroom.put(spec.team(), RemainingQuota.subtract(available, spec, count));
        demand.add(
            new PendingDemand(
                pending.job(),
                pending.slice().shard(),
                (int) count,
                !pending.remote(),
                isStarving(pending, nowMicros, wallMicros),
                ZoneCounts.of(spec, slices)));
      }
    }
    return demand;
  }

  /** How many of a slice's pending tasks could run if there were machines. */
  private long runnableTasks(PendingSlice pending, ResourceAmount available) {
    JobSpec spec = pending.spec();
    long count = pending.slice().pendingCount();
    // Quota will be reserved for starving work that stays whole: it must not lack a machine then.
    if (!pending.starving() || !spec.unsplit()) {
      // Tasks that their team's limit keeps from running anywhere need no machine.
      count = Math.min(count, RemainingQuota.tasksWithin(available, spec));
    }
    if (spec.shape() == JobSpec.Shape.SERVICE && spec.spread()) {
      count = Math.min(count, spreadCapacity(pending.slice(), spec));
    }
    return count;
  }

  /** How many more tasks of a spread job the zones may take. */
  private long spreadCapacity(Slice slice, JobSpec spec) {
    Map<String, Integer> tasksByZone = slices.zoneCounts(slice.job());
    long capacity = 0;
    for (String zone : offeredZones.get()) {
      capacity += Math.max(0, spec.maxPerZone() - tasksByZone.getOrDefault(zone, 0));
    }
    return capacity;
  }

  private boolean isStarving(PendingSlice pending, long nowMicros, long wallMicros) {
    long since = pending.slice().pendingSinceMicros();
    return deadlineOrder.isLate(pending.job(), wallMicros)
        && since != 0
        && nowMicros - since > policy.micros(Policy.Name.PATIENCE);
  }
}
