package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import java.util.Map;

/**
 * Selects the machine for a task: filters the machines, then selects the one with the best score.
 */
final class NodeSelector {
  private final NodeScorer scorer;

  NodeSelector(NodeScorer scorer) {
    this.scorer = scorer;
  }

  /**
   * Returns the best machine with free resources for a job's next task; null if there is none.
   *
   * @param zone the only zone to consider; null for all
   * @param tasksByZone the number of the job's tasks that are already in each zone
   */
  CandidateMachine select(
      JobSpec spec, SchedulingCycle cycle, String zone, Map<String, Integer> tasksByZone) {
    CandidateMachine best = null;
    double bestScore = 0;
    for (CandidateMachine machine : cycle.machines()) {
      if (machine.capacityFor(spec) == 0 || !NodeFilter.accepts(spec, machine, zone, tasksByZone)) {
        continue;
      }
      int tasksInZone = tasksByZone.getOrDefault(machine.zone(), 0);
      double score = scorer.score(spec, machine, tasksInZone, cycle.nowMicros());
      if (best == null || score < bestScore) {
        best = machine;
        bestScore = score;
      }
    }
    return best;
  }
}
