package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Attempt;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plan of the machines that will have resources for the tasks of one job, and of the tasks to
 * preempt there. Resources that the plan reserves are allocated on the candidate machines for the
 * rest of the cycle.
 */
final class ReservationPlan {
  private final JobSpec spec;
  private final SchedulingCycle cycle;
  private final Preemption preemption;
  private final NodeScorer scorer;

  /** Request that determines what the job may preempt; null if it may not preempt now. */
  private final PreemptionRequest request;

  private final Map<String, Integer> tasksByZone;
  private final List<Option> options = new ArrayList<>();

  /**
   * Attempts to preempt, in the order in which they were chosen, which is the order of their kill
   * commands. Most plans have none, so a mutable set is created only with the first.
   */
  private Set<Attempt> victims = Set.of();

  /**
   * A machine for one task.
   *
   * @param machine the machine
   * @param preemptions the tasks to preempt on the machine
   * @param cost the loss by the preemptions plus the score of the machine, in seconds
   */
  private record Option(CandidateMachine machine, Preemption.Plan preemptions, double cost) {}

  /**
   * Creates a plan without reservations.
   *
   * @param request determines what the job may preempt; null for nothing
   * @param tasksByZone the number of the job's tasks in each zone; the plan adds to it
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

  /**
   * Finds the machines that will have resources for a task, after preemptions where allowed.
   *
   * @return whether there are any
   */
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

  /**
   * Reserves resources for up to {@code count} tasks.
   *
   * @return the number of tasks for which there are no resources
   */
  int reserve(int count) {
    int remaining = count;
    while (remaining > 0) {
      int best = cheapestOption();
      if (best < 0) {
        break;
      }
      CandidateMachine machine = reserveOption(options.get(best));
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

  /** Returns the attempts to preempt for the tasks that have reservations. */
  Set<Attempt> victims() {
    return victims;
  }

  /** Returns the option for one more task on a machine; null if it can't get the resources. */
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
    return new Option(machine, plan, plan.lossSeconds() + score);
  }

  /** Returns the index of the cheapest option in an allowed zone; -1 if there is none. */
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

  private CandidateMachine reserveOption(Option option) {
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
