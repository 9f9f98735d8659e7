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
 * What jobs inherit from the jobs that depend on them: the highest priority among these, and the
 * time by which they have to end so that the last job of a pipeline can still be in time.
 */
final class PriorityInheritance {
  /** Stands for no time by which a job has to end. */
  static final long NEVER = Long.MAX_VALUE / 4;

  /** From the end of a job to the next one's tasks running: a commit, a heartbeat, an image. */
  private static final long HANDOVER_MICROS = 3_000_000;

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

  /** Computes anew what is inherited, by the present estimates of run times. */
  void refresh() {
    inheritedByJob.clear();
    List<Job> dependents = new ArrayList<>(jobs.held());
    // A job is accepted after those that it depends on, so its record has the higher revision. In
    // this order, all that a job inherits is known before it passes that on.
    dependents.sort(Comparator.comparingLong(Job::modRevision).reversed());
    for (Job dependent : dependents) {
      Inherited passedOn = new Inherited(priority(dependent), latestStartMicros(dependent));
      for (String dependency : jobs.openDependencies(dependent.id())) {
        inheritedByJob.merge(dependency, passedOn, Inherited::mostUrgent);
      }
    }
  }

  private long latestStartMicros(Job job) {
    long latestEnd = latestEndMicros(job);
    return latestEnd < NEVER
        ? latestEnd - estimates.runMicros(job.spec()) - HANDOVER_MICROS
        : latestEnd;
  }

  /** The highest priority among a job and all that depend on it. */
  JobSpec.Priority priority(Job job) {
    Inherited inherited = inheritedByJob.get(job.id());
    JobSpec.Priority own = job.spec().priority();
    return inherited == null || own.compareTo(inherited.priority()) <= 0
        ? own
        : inherited.priority();
  }

  /**
   * By when a job has to end for its own deadline and for those of the jobs that depend on it, by
   * the time of day; {@link #NEVER} if there are none.
   */
  long latestEndMicros(Job job) {
    long deadline = job.spec().deadlineMicros();
    long own = deadline == 0 ? NEVER : job.submittedMicros() + deadline;
    Inherited inherited = inheritedByJob.get(job.id());
    return inherited == null ? own : Math.min(own, inherited.latestEndMicros());
  }
}
