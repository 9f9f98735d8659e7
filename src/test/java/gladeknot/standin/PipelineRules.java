package gladeknot.standin;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What must hold for jobs that wait for others, by what their users requested and what was
 * answered.
 */
final class PipelineRules {
  private final Map<String, List<String>> needs = new HashMap<>();
  private final Set<String> cancelRequested = new HashSet<>();
  private final Map<String, Long> cancelConfirmed = new HashMap<>();

  void submitted(String id, List<String> waitsOn) {
    needs.put(id, waitsOn);
  }

  void cancelRequested(String id) {
    cancelRequested.add(id);
  }

  /** A controller answered a user that a job is cancelled; the first time counts. */
  void cancelConfirmed(String id, long now) {
    cancelConfirmed.putIfAbsent(id, now);
  }

  /** Whether a job has to wait for another that is not done. */
  boolean waits(String id, Predicate<String> done) {
    return !needs.getOrDefault(id, List.of()).stream().allMatch(done);
  }

  /** Whether a user's cancellation can have withdrawn a job: its own, or of a job before it. */
  boolean mayBeWithdrawn(String id) {
    return withAllBefore(id).stream().anyMatch(cancelRequested::contains);
  }

  /** Whether a job before this one was confirmed as withdrawn longer ago than given. */
  boolean orphaned(String id, long now, long longest) {
    return withAllBefore(id).stream()
        .filter(before -> !before.equals(id))
        .anyMatch(before -> now - cancelConfirmed.getOrDefault(before, now) > longest);
  }

  private Set<String> withAllBefore(String id) {
    Set<String> found = new HashSet<>(Set.of(id));
    ArrayDeque<String> todo = new ArrayDeque<>(found);
    while (!todo.isEmpty()) {
      for (String need : needs.getOrDefault(todo.poll(), List.of())) {
        if (found.add(need)) {
          todo.add(need);
        }
      }
    }
    return found;
  }
}
