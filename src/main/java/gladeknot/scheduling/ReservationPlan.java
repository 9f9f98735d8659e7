package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Attempt;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which machines will have resources for the tasks of one job, and what has to be preempted there.
 * What it reserves is allocated on the candidate machines for the rest of the cycle.
 */
final class ReservationPlan {
  private final JobSpec spec;
  private final SchedulingCycle cycle;
  private final Preemption preemption;
  private final NodeScorer scorer;

  /** What the job may preempt; null if it may not preempt anything now. */
  private final PreemptionRequest request;

  private final Map<String, Integer> tasksByZone;
  private final List<Option> options = new ArrayList<>();

  /**
   * In the order in which they were chosen, which is the order of their kill commands. Most plans
   * have none: the set is created with the first.
   */
  private Set<Attempt> victims = Set.of();

  /** A machine for a task, at the cost of what is preempted there and of the machine's score. */
  private record Option(CandidateMachine machine, Preemption.Plan preemptions, double cost) {}

  /**
   * A plan that has reserved nothing yet.
   *
   * @param request what the job may preempt; null for nothing
   * @param tasksByZone how many of the job's tasks are in each zone; the plan adds to it
   */
  ReservationPlan(
      JobSpec spec,
      SchedulingCycle cycle,
      Preemption preemption,
      NodeScorer scorer,
      PreemptionRequest request,
      Map<String, Integer> tasksByZone) {
    this.spec = spec;
    this.cycle = cycle;
    this.preemption = preemption;
    this.scorer = scorer;
    this.request = request;
    this.tasksByZone = tasksByZone;
  }

  /** Finds the machines that would do for a task; false if there are none. */
  boolean findOptions() {
    for (CandidateMachine machine : cycle.machines()) {
      if (NodeFilter.accepts(spec, machine, null, tasksByZone)
          && (request != null || machine.fitsAfterTermination(spec))) {
        Option option = option(machine);
        if (option != null) {
          options.add(option);
        }
      }
    }
    return !options.isEmpty();
  }

  /** Reserves resources for up to so many tasks; returns for how many there are none. */
  int reserve(int count) {
    int remaining = count;
    while (remaining > 0) {
      int best = cheapestOption();
      if (best < 0) {
        break;
      }
      CandidateMachine machine = take(options.get(best));
      remaining--;
      Option next = option(machine);
      if (next == null) {
        options.remove(best);
      } else {
        options.set(best, next);
      }
    }
    return remaining;
  }

  /** What has to be preempted for the tasks that resources were reserved for. */
  Set<Attempt> victims() {
    return victims;
  }

  /** The option for one more task on a machine; null if that can't be. */
  private Option option(CandidateMachine machine) {
    Preemption.Plan plan = Preemption.Plan.NONE;
    if (!machine.fitsAfterTermination(spec)) {
      plan =
          request == null
              ? null
              : preemption.plan(machine, spec, request, victims, cycle.nowMicros());
    }
    if (plan == null) {
      return null;
    }
    double score = scorer.score(spec, machine, 0, cycle.nowMicros());
    return new Option(machine, plan, plan.lossS() + score);
  }

  /** The index of the cheapest option in an allowed zone; -1 if there is none. */
  private int cheapestOption() {
    int best = -1;
    double bestCost = 0;
    for (int i = 0; i < options.size(); i++) {
      Option option = options.get(i);
      String zone = option.machine().zone();
      if (!spec.allowsZone(zone, tasksByZone)) {
        continue;
      }
      double cost = option.cost() + (spec.spread() ? tasksByZone.getOrDefault(zone, 0) : 0);
      if (best < 0 || cost < bestCost) {
        best = i;
        bestCost = cost;
      }
    }
    return best;
  }

  private CandidateMachine take(Option option) {
    CandidateMachine machine = option.machine();
    for (Attempt victim : option.preemptions().victims()) {
      if (victims.isEmpty()) {
        victims = new LinkedHashSet<>();
      }
      victims.add(victim);
      machine.addTerminating(victim.slice());
    }
    machine.allocate(spec);
    tasksByZone.merge(machine.zone(), 1, Integer::sum);
    return machine;
  }
}
