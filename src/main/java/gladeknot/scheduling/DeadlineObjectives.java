package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Service-level objectives of job classes that affect the {@link DeadlineOrder}. */
final class DeadlineObjectives {
  /** Multiples of the deadline for which any class has an objective, in ascending order. */
  private final List<Double> deadlineMultiples;

  private final Map<String, Set<Double>> deadlineMultiplesByClass = new HashMap<>();

  /** By class, the objectives for a start or an end within a time, without deadline objectives. */
  private final Map<String, List<Settings.Objective>> otherObjectives = new HashMap<>();

  DeadlineObjectives(Settings settings) {
    Set<Double> multiples = new HashSet<>();
    for (Settings.Objective objective : settings.objectives()) {
      ObjectiveKind kind = objective.kind();
      String jobClass = objective.jobClass();
      if (kind == ObjectiveKind.DEADLINE) {
        deadlineMultiplesByClass
            .computeIfAbsent(jobClass, c -> new HashSet<>())
            .add(objective.deadlineMultiple());
        multiples.add(objective.deadlineMultiple());
      } else if (jobClass != null
          && (kind == ObjectiveKind.WAIT || kind == ObjectiveKind.FINISHED)) {
        otherObjectives.computeIfAbsent(jobClass, c -> new ArrayList<>()).add(objective);
      }
    }
    deadlineMultiples = multiples.stream().sorted().toList();
  }

  /** Returns the multiples of the deadline that any class has an objective for, ascending. */
  List<Double> deadlineMultiples() {
    return deadlineMultiples;
  }

  /** Returns the multiples of the deadline that a job's class has objectives for. */
  Set<Double> deadlineMultiplesOf(Job job) {
    return deadlineMultiplesByClass.getOrDefault(job.spec().jobClass(), Set.of());
  }

  /** Returns the objectives of a job's class for a start or an end within a time. */
  List<Settings.Objective> otherObjectivesOf(Job job) {
    return otherObjectives.getOrDefault(job.spec().jobClass(), List.of());
  }
}
