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

/** The service-level objectives of job classes, as far as they decide on the deadline order. */
final class DeadlineObjectives {
  /** The multiples of the deadline that any class has an objective for, in ascending order. */
  private final List<Double> deadlineMultiples;

  private final Map<String, Set<Double>> multiplesByClass = new HashMap<>();

  /** By class, the objectives apart from deadlines: a start or an end within a time. */
  private final Map<String, List<Settings.Objective>> otherObjectives = new HashMap<>();

  DeadlineObjectives(Settings settings) {
    Set<Double> multiples = new HashSet<>();
    for (Settings.Objective objective : settings.objectives()) {
      ObjectiveKind kind = objective.kind();
      String jobClass = objective.jobClass();
      if (kind == ObjectiveKind.DEADLINE) {
        multiplesByClass.computeIfAbsent(jobClass, c -> new HashSet<>()).add(objective.times());
        multiples.add(objective.times());
      } else if (jobClass != null
          && (kind == ObjectiveKind.WAIT || kind == ObjectiveKind.FINISHED)) {
        otherObjectives.computeIfAbsent(jobClass, c -> new ArrayList<>()).add(objective);
      }
    }
    deadlineMultiples = multiples.stream().sorted().toList();
  }

  /** The multiples of the deadline that any class has an objective for, in ascending order. */
  List<Double> deadlineMultiples() {
    return deadlineMultiples;
  }

  /** The multiples of the deadline that a job's class has objectives for. */
  Set<Double> multiplesOf(Job job) {
    return multiplesByClass.getOrDefault(job.spec().jobClass(), Set.of());
  }

  /** The objectives of a job's class for a start or an end within a time, deadlines apart. */
  List<Settings.Objective> othersOf(Job job) {
    return otherObjectives.getOrDefault(job.spec().jobClass(), List.of());
  }
}
