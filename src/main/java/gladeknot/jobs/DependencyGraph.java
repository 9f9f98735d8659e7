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
 * Graph of the held jobs and the dependencies that hold them.
 *
 * <p>The graph is updated incrementally. It maps each held job to its open dependencies, and each
 * dependency to its dependents. The cost of a job's end is therefore proportional to the number of
 * its dependents, and the cost of a cancellation to the number of jobs that it cancels.
 */
final class DependencyGraph {
  /** A job that is held until its open dependencies are completed. */
  private static final class HeldJob {
    private Job job;
    private final Set<String> openDependencies = new LinkedHashSet<>();

    private HeldJob(Job job) {
      this.job = job;
    }
  }

  /** Lookup of finished jobs by id; returns null for a job that is not finished. */
  private final Function<String, Job> finishedJobs;

  private final Map<String, HeldJob> heldJobs = new LinkedHashMap<>();
  private final Map<String, Set<String>> dependents = new HashMap<>();
  private final Map<String, Job> cancelled = new LinkedHashMap<>();

  DependencyGraph(Function<String, Job> finishedJobs) {
    this.finishedJobs = finishedJobs;
  }

  /** Returns the held jobs, in the order in which they became held. */
  Collection<Job> held() {
    return heldJobs.values().stream().map(heldJob -> heldJob.job).toList();
  }

  /** Returns a held job; null if the job isn't held. */
  Job held(String id) {
    HeldJob heldJob = heldJobs.get(id);
    return heldJob == null ? null : heldJob.job;
  }

  /** Returns the dependencies of a job that are not completed yet; empty if the job isn't held. */
  Collection<String> openDependencies(String id) {
    HeldJob heldJob = heldJobs.get(id);
    return heldJob == null ? List.of() : heldJob.openDependencies;
  }

  /** Returns the jobs that are cancelled because of a dependency and have no final record yet. */
  List<Job> cancelled() {
    return List.copyOf(cancelled.values());
  }

  /**
   * Returns a job that is cancelled because of a dependency and has no final record yet; null if
   * there is no such job.
   */
  Job cancelled(String id) {
    return cancelled.get(id);
  }

  /**
   * Adds an accepted job: it is held by its open dependencies, cancelled because of a cancelled
   * one, or added to {@code released} if no dependency holds it.
   */
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

  /** Removes a job as a dependent, before its changed record is added. */
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

  /**
   * Handles the end of a job. If the job is completed, dependents that no other dependency holds
   * are added to {@code released}. If it was cancelled, its dependents are cancelled too.
   */
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

  /** Cancels a job and all of its direct and indirect dependents. */
  private void cancel(Job job) {
    remove(job.id());
    cancelled.put(job.id(), job.asCancelled());
    cancelDependents(job.id());
  }

  private void cancelDependents(String jobId) {
    ArrayDeque<String> pending = new ArrayDeque<>();
    pending.add(jobId);
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
   * Returns the dependent with a ready time no earlier than the end of its dependency. A completed
   * job whose record contains no end time ended before jobs could have dependencies.
   */
  private static Job readyAfter(Job dependent, Job dependency) {
    return dependency.endMicros() > dependent.readyMicros()
        ? dependent.readyAt(dependency.endMicros())
        : dependent;
  }
}
