package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.tasks.SliceRegistry;
import java.util.HashMap;
import java.util.Map;

/** Reserves quota and machines for gangs that can't start yet, so that others don't use them up. */
final class GangReservations {
  /** For so long a shard keeps its quota for a gang before it is the next shard's turn. */
  private static final long ROTATION_MICROS = 10_000_000;

  private final Membership membership;
  private final SliceRegistry slices;

  GangReservations(Membership membership, SliceRegistry slices) {
    this.membership = membership;
    this.slices = slices;
  }

  /**
   * Reserves the quota that is left for a gang that needs more: work that comes after it must not
   * use that up, or it never gets all it needs. Shards that could claim a starving gang do the same
   * in rotation: if two kept a part each, neither would ever have enough.
   */
  void reserveQuota(PendingSlice pending, int pendingTasks, int allowed, SchedulingCycle cycle) {
    JobSpec spec = pending.spec();
    boolean inRotation =
        cycle.wallMicros() / ROTATION_MICROS % membership.shardCount() == cycle.shard();
    if (!inRotation && (pending.remote() || pending.starving())) {
      return;
    }
    cycle.quota().charge(spec, allowed);
    if (inRotation) {
      cycle.quota().reserve(spec, allowed);
    }
    if (pending.starving()) {
      reserveMachines(spec, pendingTasks, cycle, slices.zoneCounts(spec.id()));
    }
  }

  /**
   * Reserves what becomes free on the machines that a gang could use and that nothing may be
   * preempted on: the resources that it lacks are allocated for the rest of the cycle. A colocated
   * gang gets them in the zone where most of its tasks could be.
   */
  void reserveMachines(
      JobSpec spec, int count, SchedulingCycle cycle, Map<String, Integer> tasksByZone) {
    String zone = spec.colocated() ? largestZone(spec, cycle, tasksByZone) : null;
    int remaining = count;
    for (CandidateMachine machine : cycle.machines()) {
      if (remaining > 0 && NodeFilter.accepts(spec, machine, zone, tasksByZone)) {
        int reserved = Math.min(remaining, machine.type().fits(spec));
        for (int i = 0; i < reserved; i++) {
          machine.allocate(spec);
        }
        remaining -= reserved;
      }
    }
  }

  /** The zone whose machines could run most tasks of a job; null if no machine accepts any. */
  private static String largestZone(
      JobSpec spec, SchedulingCycle cycle, Map<String, Integer> tasksByZone) {
    Map<String, Integer> capacityByZone = new HashMap<>();
    for (CandidateMachine machine : cycle.machines()) {
      if (NodeFilter.accepts(spec, machine, null, tasksByZone)) {
        capacityByZone.merge(machine.zone(), machine.type().fits(spec), Integer::sum);
      }
    }
    String largest = null;
    for (Map.Entry<String, Integer> entry : capacityByZone.entrySet()) {
      if (largest == null || entry.getValue() > capacityByZone.get(largest)) {
        largest = entry.getKey();
      }
    }
    return largest;
  }
}
