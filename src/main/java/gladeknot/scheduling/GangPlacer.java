package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Places gangs: starts all tasks of a gang at once or none. */
final class GangPlacer {
  /** Zones to search for a gang that is not colocated: one search, not limited to a zone. */
  private static final Set<String> ANY_ZONE = Collections.singleton(null);

  private final SliceRegistry slices;
  private final NodeSelector selector;
  private final TaskStarter starter;
  private final GangReservations reservations;

  GangPlacer(
      SliceRegistry slices,
      NodeSelector selector,
      TaskStarter starter,
      GangReservations reservations) {
    this.slices = slices;
    this.selector = selector;
    this.starter = starter;
    this.reservations = reservations;
  }

  /**
   * Starts a gang if there are machines for all its tasks.
   *
   * @return the number of tasks that are within quota but found no machine: none or all
   */
  int place(PendingSlice pending, SchedulingCycle cycle) {
    Slice slice = pending.slice();
    JobSpec spec = pending.spec();
    int pendingTasks = slice.pendingCount();
    int allowed = cycle.quota().allowedTasks(spec);
    if (!slice.attemptsByTask().isEmpty()) {
      return 0;
    }
    if (allowed < pendingTasks) {
      cycle.requestQuota(spec, pendingTasks, allowed);
      reservations.reserveQuota(pending, pendingTasks, allowed, cycle);
      return 0;
    }
    for (String zone : zonesToSearch(spec, cycle)) {
      List<CandidateMachine> machines = selectMachines(slice, spec, zone, cycle);
      if (machines.size() == pendingTasks) {
        start(slice, machines, cycle);
        cycle.quota().charge(spec, pendingTasks);
        return 0;
      }
    }
    return pendingTasks;
  }

  private static Set<String> zonesToSearch(JobSpec spec, SchedulingCycle cycle) {
    if (!spec.colocated()) {
      return ANY_ZONE;
    }
    Set<String> zones = new LinkedHashSet<>();
    for (CandidateMachine machine : cycle.machines()) {
      zones.add(machine.zone());
    }
    return zones;
  }

  /**
   * Selects the best machine for each pending task. Returns fewer machines than tasks if there are
   * not enough. Nothing stays allocated on them.
   */
  private List<CandidateMachine> selectMachines(
      Slice slice, JobSpec spec, String zone, SchedulingCycle cycle) {
    int wanted = slice.pendingCount();
    Map<String, Integer> tasksByZone = slices.zoneCounts(slice.job());
    List<CandidateMachine> chosen = new ArrayList<>();
    while (chosen.size() < wanted) {
      CandidateMachine machine = selector.select(spec, cycle, zone, tasksByZone);
      if (machine == null) {
        break;
      }
      machine.allocate(spec);
      tasksByZone.merge(machine.zone(), 1, Integer::sum);
      chosen.add(machine);
    }
    for (CandidateMachine machine : chosen) {
      machine.release(spec);
    }
    return chosen;
  }

  private void start(Slice slice, List<CandidateMachine> machines, SchedulingCycle cycle) {
    // All tasks of a gang share one attempt number, also in the messages to their workers.
    long attemptNumber = slice.nextAttemptNumber();
    int task = slice.nextPending(0);
    for (CandidateMachine machine : machines) {
      starter.start(slice, task, attemptNumber, machine, cycle.nowMicros());
      task = slice.nextPending(task + 1);
    }
  }
}
