package gladeknot.standin;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** What must hold for jobs that wait for others, by what their users asked for and were told. */
final class PipelineRules {
  private final Map<String, List<String>> needs = new HashMap<>();
  private final Set<String> cancelAsked = new HashSet<>();
  private final Map<String, Long> cancelTold = new HashMap<>();

  void submitted(String id, List<String> waitsOn) {
    needs.put(id, waitsOn);
  }

  void cancelAsked(String id) {
    cancelAsked.add(id);
  }

  /** A user was told for the first time that a job is withdrawn. */
  void cancelTold(String id, long now) {
    cancelTold.putIfAbsent(id, now);
  }

  /** Whether a job has to wait for another that is not done. */
  boolean waits(String id, Predicate<String> done) {
    return !needs.getOrDefault(id, List.of()).stream().allMatch(done);
  }

  /** Whether a user's cancellation can have withdrawn a job: its own, or of a job before it. */
  boolean mayBeWithdrawn(String id) {
    return withAllBefore(id).stream().anyMatch(cancelAsked::contains);
  }

  /** Whether a job before this one was confirmed as withdrawn longer ago than given. */
  boolean orphaned(String id, long now, long longest) {
    return withAllBefore(id).stream()
        .filter(before -> !before.equals(id))
        .anyMatch(before -> now - cancelTold.getOrDefault(before, now) > longest);
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
