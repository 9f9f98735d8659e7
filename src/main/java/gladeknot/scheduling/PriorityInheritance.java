package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.RuntimeEstimates;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes what jobs inherit from the jobs that depend on them, directly or not. A job inherits the
 * highest priority among its dependents, and the time by which it has to end so that all dependents
 * can still meet their deadlines.
 */
final class PriorityInheritance {
  /** Time of day, in microseconds, that stands for no deadline. */
  static final long NO_DEADLINE_MICROS = Long.MAX_VALUE / 4;

  /**
   * Time from the end of a job until the tasks of a dependent job run, in microseconds. It covers a
   * commit, a heartbeat and an image fetch.
   */
  private static final long DEPENDENT_START_DELAY_MICROS = 3_000_000;

  private record Inherited(JobSpec.Priority priority, long latestEndMicros) {
    private Inherited mostUrgent(Inherited other) {
      return new Inherited(
          priority.compareTo(other.priority) <= 0 ? priority : other.priority,
          Math.min(latestEndMicros, other.latestEndMicros));
    }
  }

  private final JobRegistry jobs;
  private final RuntimeEstimates estimates;
  private final Map<String, Inherited> inheritedByJob = new HashMap<>();

  PriorityInheritance(JobRegistry jobs, RuntimeEstimates estimates) {
    this.jobs = jobs;
    this.estimates = estimates;
  }

  /** Recomputes what jobs inherit, with the current estimates of run times. */
  void refresh() {
    inheritedByJob.clear();
    List<Job> dependents = new ArrayList<>(jobs.held());
    // A job is accepted after its dependencies, so its record has a higher revision than theirs. In
    // descending order of revisions, a job has inherited from all its dependents before its
    // dependencies inherit from it.
    dependents.sort(Comparator.comparingLong(Job::modRevision).reversed());
    for (Job dependent : dependents) {
      Inherited fromDependent = new Inherited(priority(dependent), latestStartMicros(dependent));
      for (String dependency : jobs.openDependencies(dependent.id())) {
        inheritedByJob.merge(dependency, fromDependent, Inherited::mostUrgent);
      }
    }
  }

  private long latestStartMicros(Job job) {
    long latestEndMicros = latestEndMicros(job);
    return latestEndMicros < NO_DEADLINE_MICROS
        ? latestEndMicros - estimates.runMicros(job.spec()) - DEPENDENT_START_DELAY_MICROS
        : latestEndMicros;
  }

  /** Returns the highest priority among a job and the jobs that depend on it. */
  JobSpec.Priority priority(Job job) {
    Inherited inherited = inheritedByJob.get(job.id());
    JobSpec.Priority ownPriority = job.spec().priority();
    return inherited == null || ownPriority.compareTo(inherited.priority()) <= 0
        ? ownPriority
        : inherited.priority();
  }

  /**
   * Returns the time of day by which a job has to end for its own deadline and for those of the
   * jobs that depend on it; {@link #NO_DEADLINE_MICROS} if there are no deadlines.
   */
  long latestEndMicros(Job job) {
    long relativeDeadlineMicros = job.spec().deadlineMicros();
    long ownEndMicros =
        relativeDeadlineMicros == 0
            ? NO_DEADLINE_MICROS
            : job.submittedMicros() + relativeDeadlineMicros;
    Inherited inherited = inheritedByJob.get(job.id());
    return inherited == null ? ownEndMicros : Math.min(ownEndMicros, inherited.latestEndMicros());
  }
}
