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

/** Computes which pending tasks require machines, so that the fleet can scale out for them. */
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

  /** Returns the pending tasks of all shards, in the order in which they would get machines. */
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

  /** Returns the number of a slice's pending tasks that could run if there were machines. */
  private long runnableTasks(PendingSlice pending, ResourceAmount available) {
    JobSpec spec = pending.spec();
    long count = pending.slice().pendingCount();
    // The limit does not apply to starving jobs that are kept in one slice. Quota will be reserved
    // for these jobs, and their machines must have booted by then.
    if (!pending.starving() || !spec.unsplit()) {
      // Tasks that can't run in any shard because of their team's limit require no machine.
      count = Math.min(count, RemainingQuota.tasksWithin(available, spec));
    }
    if (spec.shape() == JobSpec.Shape.SERVICE && spec.spread()) {
      count = Math.min(count, spreadCapacity(pending.slice(), spec));
    }
    return count;
  }

  /** Returns the number of further tasks of a spread job that the zones may run. */
  private long spreadCapacity(Slice slice, JobSpec spec) {
    Map<String, Integer> tasksByZone = slices.zoneCounts(slice.job());
    long capacity = 0;
    for (String zone : offeredZones.get()) {
      capacity += Math.max(0, spec.maxPerZone() - tasksByZone.getOrDefault(zone, 0));
    }
    return capacity;
  }

  private boolean isStarving(PendingSlice pending, long nowMicros, long wallMicros) {
    long pendingSinceMicros = pending.slice().pendingSinceMicros();
    return deadlineOrder.isLate(pending.job(), wallMicros)
        && pendingSinceMicros != 0
        && nowMicros - pendingSinceMicros > policy.micros(Policy.Name.PATIENCE);
  }
}
