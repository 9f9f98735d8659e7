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
 * What jobs inherit from those that wait for them: the highest rank among these, and the time by
 * which they have to end so that the last job of a pipeline can still be in time.
 */
final class PriorityInheritance {
  /** Stands for no time by which a job has to end. */
  static final long NEVER = Long.MAX_VALUE / 4;

  /** From the end of a job to the next one's tasks at work: a commit, a report, an image. */
  private static final long HANDOVER_MICROS = 3_000_000;

  private record Inherited(JobSpec.Priority rank, long latestEndMicros) {
    private Inherited and(Inherited other) {
      return new Inherited(
          rank.compareTo(other.rank) <= 0 ? rank : other.rank,
          Math.min(latestEndMicros, other.latestEndMicros));
    }
  }

  private final JobRegistry jobs;
  private final RuntimeEstimates estimates;
  private final Map<String, Inherited> inherited = new HashMap<>();

  PriorityInheritance(JobRegistry jobs, RuntimeEstimates estimates) {
    this.jobs = jobs;
    this.estimates = estimates;
  }

  /** Works out anew what is inherited, by what is known of run times now. */
  void refresh() {
    inherited.clear();
    List<Job> held = new ArrayList<>(jobs.held());
    // A job is accepted after those that it needs, so that its record has the larger stamp: in this
    // order, all that a job passes on is known when its turn comes.
    held.sort(Comparator.comparingLong(Job::modRevision).reversed());
    for (Job job : held) {
      Inherited passed = new Inherited(priority(job), latestEndMicros(job));
      long latestStart = passed.latestEndMicros();
      if (latestStart < NEVER) {
        latestStart -= estimates.runMicros(job.spec()) + HANDOVER_MICROS;
      }
      for (String need : jobs.openDependencies(job.id())) {
        inherited.merge(need, new Inherited(passed.rank(), latestStart), Inherited::and);
      }
    }
  }

  /** The highest rank among a job and all that wait for it. */
  JobSpec.Priority priority(Job job) {
    Inherited from = inherited.get(job.id());
    JobSpec.Priority own = job.spec().priority();
    return from == null || own.compareTo(from.rank()) <= 0 ? own : from.rank();
  }

  /** By when a job has to end for its own deadline and for those that wait for it. */
  long latestEndMicros(Job job) {
    long due = job.spec().deadlineMicros();
    long own = due == 0 ? NEVER : job.submittedMicros() + due;
    Inherited from = inherited.get(job.id());
    return from == null ? own : Math.min(own, from.latestEndMicros());
  }
}
