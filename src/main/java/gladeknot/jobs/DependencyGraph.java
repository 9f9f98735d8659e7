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
 * Which jobs are held by which dependencies.
 *
 * <p>It is kept up to date change by change: each held job knows its open dependencies, and each
 * dependency its dependents. The end of a job therefore costs as much as it has dependents, and a
 * cancellation as much as jobs are cancelled by it.
 */
final class DependencyGraph {
  /** A job that is held until its open dependencies are done. */
  private static final class HeldJob {
    private Job job;
    private final Set<String> openDependencies = new LinkedHashSet<>();

    private HeldJob(Job job) {
      this.job = job;
    }
  }

  /** Finished jobs by id; null for those that are not. */
  private final Function<String, Job> finishedJobs;

  private final Map<String, HeldJob> heldJobs = new LinkedHashMap<>();
  private final Map<String, Set<String>> dependents = new HashMap<>();
  private final Map<String, Job> cancelled = new LinkedHashMap<>();

  DependencyGraph(Function<String, Job> finishedJobs) {
    this.finishedJobs = finishedJobs;
  }

  /** The jobs that are held, the one that is held for longest first. */
  Collection<Job> held() {
    return heldJobs.values().stream().map(heldJob -> heldJob.job).toList();
  }

  /** A held job; null if it isn't held. */
  Job held(String id) {
    HeldJob heldJob = heldJobs.get(id);
    return heldJob == null ? null : heldJob.job;
  }

  /** The dependencies of a job that are not done yet; empty if it isn't held. */
  Collection<String> openDependencies(String id) {
    HeldJob heldJob = heldJobs.get(id);
    return heldJob == null ? List.of() : heldJob.openDependencies;
  }

  /** Jobs that are cancelled with one of their dependencies, without a final record yet. */
  List<Job> cancelled() {
    return List.copyOf(cancelled.values());
  }

  /** A job that is cancelled with one of its dependencies; null if it isn't. */
  Job cancelled(String id) {
    return cancelled.get(id);
  }

  /** Adds an accepted job. If nothing holds it, it is added to {@code released}. */
  void add(Job job, List<Job> released) {
    HeldJob heldJob = new HeldJob(job);
    boolean dependencyCancelled = false;
    for (String dependency : job.spec().dependencies()) {
      Job finished = finishedJobs.apply(dependency);
      if (finished == null) {
        heldJob.openDependencies.add(dependency);
      } else if (finished.phase() == Job.Phase.DONE) {
        heldJob.job = readyAfter(heldJob.job, finished);
      } else {
        dependencyCancelled = true;
      }
    }
    if (dependencyCancelled) {
      cancel(job);
    } else if (heldJob.openDependencies.isEmpty()) {
      released.add(heldJob.job);
    } else {
      hold(heldJob);
    }
  }

  private void hold(HeldJob heldJob) {
    String id = heldJob.job.id();
    heldJobs.put(id, heldJob);
    for (String dependency : heldJob.openDependencies) {
      dependents.computeIfAbsent(dependency, absent -> new LinkedHashSet<>()).add(id);
    }
  }

  /** Forgets a job as a dependent, before its changed record is added. */
  void remove(String id) {
    cancelled.remove(id);
    HeldJob heldJob = heldJobs.remove(id);
    if (heldJob == null) {
      return;
    }
    for (String dependency : heldJob.openDependencies) {
      Set<String> remaining = dependents.get(dependency);
      remaining.remove(id);
      if (remaining.isEmpty()) {
        dependents.remove(dependency);
      }
    }
  }

  /** A job is finished. Dependents that nothing else holds are added to {@code released}. */
  void onFinished(String id, List<Job> released) {
    Job finished = finishedJobs.apply(id);
    if (finished.phase() == Job.Phase.CANCELLED) {
      cancelDependents(id);
      return;
    }
    for (String dependent : dependentsOf(id)) {
      HeldJob heldJob = heldJobs.get(dependent);
      heldJob.job = readyAfter(heldJob.job, finished);
      heldJob.openDependencies.remove(id);
      if (heldJob.openDependencies.isEmpty()) {
        heldJobs.remove(dependent);
        released.add(heldJob.job);
      }
    }
    dependents.remove(id);
  }

  /** Cancels a job and all that depend on it, directly or through others. */
  private void cancel(Job job) {
    remove(job.id());
    cancelled.put(job.id(), job.asCancelled());
    cancelDependents(job.id());
  }

  private void cancelDependents(String first) {
    ArrayDeque<String> pending = new ArrayDeque<>();
    pending.add(first);
    while (!pending.isEmpty()) {
      for (String dependent : dependentsOf(pending.poll())) {
        Job job = heldJobs.get(dependent).job;
        remove(dependent);
        cancelled.put(dependent, job.asCancelled());
        pending.add(dependent);
      }
    }
  }

  private List<String> dependentsOf(String id) {
    return new ArrayList<>(dependents.getOrDefault(id, Set.of()));
  }

  /**
   * The dependent, ready no earlier than its dependency was done. A done job whose record does not
   * say when it ended was over before anything could depend on it.
   */
  private static Job readyAfter(Job dependent, Job done) {
    return done.endMicros() > dependent.readyMicros()
        ? dependent.readyAt(done.endMicros())
        : dependent;
  }
}
