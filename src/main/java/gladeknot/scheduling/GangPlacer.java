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

/** Places gangs: all tasks at once or none. */
final class GangPlacer {
  /** The choice of zones of a gang that may be in any: one search without a zone. */
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
   * @return how many tasks are within quota but found no machines: none or all
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
    for (String zone : zones(spec, cycle)) {
      List<CandidateMachine> machines = machines(slice, spec, zone, cycle);
      if (machines.size() == pendingTasks) {
        start(slice, machines, cycle);
        cycle.quota().charge(spec, pendingTasks);
        return 0;
      }
    }
    return pendingTasks;
  }

  private static Set<String> zones(JobSpec spec, SchedulingCycle cycle) {
    if (!spec.colocated()) {
      return ANY_ZONE;
    }
    Set<String> zones = new LinkedHashSet<>();
    for (CandidateMachine machine : cycle.machines()) {
      zones.add(machine.zone());
    }
    return zones;
  }

  /** The best machine for each of the tasks, as far as there are any; nothing stays allocated. */
  private List<CandidateMachine> machines(
      Slice slice, JobSpec spec, String zone, SchedulingCycle cycle) {
    int needed = slice.pendingCount();
    Map<String, Integer> tasksByZone = slices.zoneCounts(slice.job());
    List<CandidateMachine> chosen = new ArrayList<>();
    while (chosen.size() < needed) {
      CandidateMachine machine = selector.best(spec, cycle, zone, tasksByZone);
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
    // All members share one attempt number, also in the messages to their workers.
    long attemptNumber = slice.nextAttemptNumber();
    int task = slice.nextPending(0);
    for (CandidateMachine machine : machines) {
      starter.start(slice, task, attemptNumber, machine, cycle.nowMicros());
      task = slice.nextPending(task + 1);
    }
  }
}
