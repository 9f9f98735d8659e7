package gladeknot.standin;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The rules for jobs with dependencies on other jobs, derived from what users requested and what
 * controllers answered.
 */
final class JobDependencyRules {
  private final Map<String, List<String>> dependencies = new HashMap<>();
  private final Set<String> cancelRequested = new HashSet<>();
  private final Map<String, Long> cancelConfirmedMicros = new HashMap<>();

  void submitted(String id, List<String> waitsOn) {
    dependencies.put(id, waitsOn);
  }

  void cancelRequested(String id) {
    cancelRequested.add(id);
  }

  /** Records that a controller answered that a job is cancelled; only the first answer counts. */
  void cancelConfirmed(String id, long nowMicros) {
    cancelConfirmedMicros.putIfAbsent(id, nowMicros);
  }

  /** Returns whether a job has a dependency that is not done. */
  boolean isBlocked(String id, Predicate<String> done) {
    return !dependencies.getOrDefault(id, List.of()).stream().allMatch(done);
  }

  /** Returns whether a user requested to cancel the job or one of its transitive dependencies. */
  boolean mayBeCancelled(String id) {
    return withTransitiveDependencies(id).stream().anyMatch(cancelRequested::contains);
  }

  /**
   * Returns whether a transitive dependency was confirmed cancelled more than {@code limitMicros}
   * ago.
   */
  boolean cancellationOverdue(String id, long nowMicros, long limitMicros) {
    return withTransitiveDependencies(id).stream()
        .filter(dependency -> !dependency.equals(id))
        .anyMatch(
            dependency ->
                nowMicros - cancelConfirmedMicros.getOrDefault(dependency, nowMicros)
                    > limitMicros);
  }

  private Set<String> withTransitiveDependencies(String id) {
    Set<String> found = new HashSet<>(Set.of(id));
    ArrayDeque<String> pending = new ArrayDeque<>(found);
    while (!pending.isEmpty()) {
      for (String dependency : dependencies.getOrDefault(pending.poll(), List.of())) {
        if (found.add(dependency)) {
          pending.add(dependency);
        }
      }
    }
    return found;
  }
}
