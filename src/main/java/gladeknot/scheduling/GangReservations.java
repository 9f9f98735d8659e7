package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.tasks.SliceRegistry;
import java.util.HashMap;
import java.util.Map;

/**
 * Reserves quota and machines for gangs that can't start yet, so that other jobs don't use them.
 */
final class GangReservations {
  /**
   * Time for which one shard reserves its quota for gangs before the next shard does, in
   * microseconds.
   */
  private static final long ROTATION_MICROS = 10_000_000;

  private final Membership membership;
  private final SliceRegistry slices;

  GangReservations(Membership membership, SliceRegistry slices) {
    this.membership = membership;
    this.slices = slices;
  }

  /**
   * Reserves the remaining quota for a gang that requires more quota than remains. Otherwise jobs
   * that come after the gang could use the remaining quota, and the gang might never get enough.
   * For a starving gang, the shards that could claim it reserve quota in rotation: if two shards
   * each reserved a part, neither would ever have enough. For a starving gang, machines are
   * reserved as well.
   *
   * @param pendingTasks the number of the gang's pending tasks
   * @param allowed the number of these tasks that the remaining quota allows
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
   * Reserves machines for the tasks of a gang that can't get resources by preemption, so that
   * resources that become free there go to the gang. The resources of these tasks are allocated for
   * the rest of the cycle, whether they are free or not. For a colocated gang, the machines are
   * those of the zone that can run most of its tasks.
   *
   * @param count the number of tasks to reserve for
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

  /** Returns the zone whose machines could run most tasks of a job; null if none accepts any. */
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
