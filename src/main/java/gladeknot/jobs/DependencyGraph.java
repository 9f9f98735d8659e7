package gladeknot.jobs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Which jobs wait for which others.
 *
 * <p>It is kept up to date change by change: each job knows which of those that it needs are still
 * open, and each needed job which others wait for it. The end of a job therefore costs as much as
 * jobs wait for it, and a withdrawal as much as jobs are withdrawn by it.
 */
final class DependencyGraph {
  /** A job that waits; {@code open} are those jobs that it needs which are not done. */
  private static final class Dependent {
    private Job job;
    private final Set<String> open = new LinkedHashSet<>();

    private Dependent(Job job) {
      this.job = job;
    }
  }

  /** Jobs that are over, by id; null for those that are not. */
  private final Function<String, Job> over;

  private final Map<String, Dependent> held = new LinkedHashMap<>();
  private final Map<String, Set<String>> dependents = new HashMap<>();
  private final Map<String, Job> withdrawn = new LinkedHashMap<>();

  DependencyGraph(Function<String, Job> over) {
    this.over = over;
  }

  Collection<Job> held() {
    return held.values().stream().map(dependent -> dependent.job).toList();
  }

  Job held(String id) {
    Dependent dependent = held.get(id);
    return dependent == null ? null : dependent.job;
  }

  Collection<String> openNeeds(String id) {
    Dependent dependent = held.get(id);
    return dependent == null ? List.of() : dependent.open;
  }

  /** Jobs that are withdrawn because one that they need is, without a final record of their own. */
  List<Job> withdrawn() {
    return List.copyOf(withdrawn.values());
  }

  Job withdrawn(String id) {
    return withdrawn.get(id);
  }

  /** Takes in an accepted job. What may start at once is added to {@code released}. */
  void add(Job job, List<Job> released) {
    Dependent dependent = new Dependent(job);
    boolean doomed = false;
    for (String need : job.spec().dependencies()) {
      Job ended = over.apply(need);
      if (ended == null) {
        dependent.open.add(need);
      } else if (ended.phase() == Job.Phase.DONE) {
        dependent.job = later(dependent.job, ended);
      } else {
        doomed = true;
      }
    }
    if (doomed) {
      withdraw(job);
    } else if (dependent.open.isEmpty()) {
      released.add(dependent.job);
    } else {
      held.put(job.id(), dependent);
      for (String need : dependent.open) {
        dependents.computeIfAbsent(need, id -> new LinkedHashSet<>()).add(job.id());
      }
    }
  }

  /** Forgets what is known of a job as a dependent, before its record is taken in anew. */
  void remove(String id) {
    withdrawn.remove(id);
    Dependent dependent = held.remove(id);
    if (dependent == null) {
      return;
    }
    for (String need : dependent.open) {
      Set<String> waiting = dependents.get(need);
      waiting.remove(id);
      if (waiting.isEmpty()) {
        dependents.remove(need);
      }
    }
  }

  /** A job is over. Those that waited for nothing else any more are added to {@code released}. */
  void ended(String id, List<Job> released) {
    Job ended = over.apply(id);
    if (ended.phase() == Job.Phase.CANCELLED) {
      withdrawDependents(id);
      return;
    }
    for (String waiting : dependentsOf(id)) {
      Dependent dependent = held.get(waiting);
      dependent.job = later(dependent.job, ended);
      dependent.open.remove(id);
      if (dependent.open.isEmpty()) {
        held.remove(waiting);
        released.add(dependent.job);
      }
    }
    dependents.remove(id);
  }

  /** Withdraws a job, and all that need it. */
  private void withdraw(Job job) {
    remove(job.id());
    withdrawn.put(job.id(), asWithdrawn(job));
    withdrawDependents(job.id());
  }

  private void withdrawDependents(String first) {
    ArrayDeque<String> todo = new ArrayDeque<>();
    todo.add(first);
    while (!todo.isEmpty()) {
      for (String waiting : dependentsOf(todo.poll())) {
        Job job = held.get(waiting).job;
        remove(waiting);
        withdrawn.put(waiting, asWithdrawn(job));
        todo.add(waiting);
      }
    }
  }

  private List<String> dependentsOf(String id) {
    return new ArrayList<>(dependents.getOrDefault(id, Set.of()));
  }

  /** A done job whose record does not tell when it ended was over before anything could need it. */
  private static Job later(Job job, Job ended) {
    return ended.endMicros() > job.readyMicros() ? job.readyAt(ended.endMicros()) : job;
  }

  private static Job asWithdrawn(Job job) {
    return new Job(
        job.id(),
        Job.Phase.CANCELLED,
        null,
        job.home(),
        job.tasks(),
        job.submittedMicros(),
        0,
        0,
        job.modRevision());
  }
}
