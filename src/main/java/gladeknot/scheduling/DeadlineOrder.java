package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Orders jobs with deadlines when not all deadlines can be met.
 *
 * <p>Under overload, earliest deadline first would make every job a little late. Jobs are therefore
 * admitted in the order of their deadlines, as long as the machines that are available to jobs with
 * deadlines now can finish all admitted jobs in time. If a job would be late, the largest admitted
 * job is deferred. This is the rule of Moore and Hodgson, which maximizes the number of jobs in
 * time. Deferred jobs are considered again for the next objective of their class, which is another
 * multiple of the deadline. Jobs that are late for all these objectives are ordered by submission
 * time.
 */
final class DeadlineOrder {
  /** Lowest key of jobs that are late for all their deadline objectives. */
  static final long LATE_KEY = Long.MAX_VALUE / 4;

  /** Tier of jobs that are late for all their deadline objectives. */
  private static final int LATE_TIER = 8;

  /**
   * Distance between the keys of two tiers. It far exceeds any time of day in microseconds, so jobs
   * that can meet an earlier objective come first.
   */
  private static final long TIER_WIDTH = LATE_KEY / LATE_TIER;

  private static final long REFRESH_INTERVAL_MICROS = 300_000;

  /** Time from the end of a task to the answer that reports it, in microseconds. */
  private static final long COMPLETION_DELAY_MICROS = 3_000_000;

  /** Time from the decision to start a task until it runs, in microseconds. */
  private static final long START_DELAY_MICROS = 1_500_000;

  /**
   * A job that may be admitted.
   *
   * @param job the job
   * @param workMicros the run time of all its pending tasks, including their start delays
   * @param runMicros the estimated run time of one task
   * @param dueMicros the time of day by which the last task has to end
   */
  private record Candidate(Job job, long workMicros, long runMicros, long dueMicros) {}

  /** Counts the tasks of a job that can run at once. */
  interface TaskSlots {
    /** Returns how many tasks of a job the running and launching machines can run at once. */
    int count(JobSpec spec);
  }

  private final Policy policy;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final RuntimeEstimates estimates;
  private final PriorityInheritance inheritance;

  private final DeadlineObjectives objectives;
  private final Map<String, Long> keyByJob = new HashMap<>();
  private long nextRefreshMicros;
  private long seenChangeCount = -1;
  private long refreshedWallMicros;

  DeadlineOrder(
      Settings settings,
      Policy policy,
      JobRegistry jobs,
      SliceRegistry slices,
      RuntimeEstimates estimates) {
    this.policy = policy;
    this.jobs = jobs;
    this.slices = slices;
    this.estimates = estimates;
    this.inheritance = new PriorityInheritance(jobs, estimates);
    this.objectives = new DeadlineObjectives(settings);
  }

  /** Returns the key of a job, which orders the jobs of a priority: the lowest comes first. */
  long key(Job job) {
    if (job.spec().deadlineMicros() == 0) {
      return keyFromDependents(job);
    }
    Long key = keyByJob.get(job.id());
    return key == null ? job.submittedMicros() + job.spec().deadlineMicros() : key;
  }

  /**
   * Returns the key of a job without a deadline of its own. If the jobs that depend on it have
   * deadlines that can still be met, the key is the time by which the job has to end for them.
   * Otherwise the job comes just before the jobs that are late for all their deadline objectives.
   */
  private long keyFromDependents(Job job) {
    long latestEndMicros = inheritance.latestEndMicros(job);
    boolean canBeMet =
        latestEndMicros < PriorityInheritance.NO_DEADLINE_MICROS
            && refreshedWallMicros + START_DELAY_MICROS + estimates.runMicros(job.spec())
                <= latestEndMicros;
    return canBeMet ? latestEndMicros : LATE_KEY - 1;
  }

  /** Returns the highest priority among a job and the jobs that depend on it. */
  JobSpec.Priority priority(Job job) {
    return inheritance.priority(job);
  }

  /**
   * Returns the time of day by which a job has to end for its own deadline and those of the jobs
   * that depend on it; see {@link PriorityInheritance#latestEndMicros}.
   */
  long latestEndMicros(Job job) {
    return inheritance.latestEndMicros(job);
  }

  /**
   * Returns the index of the deadline objective that a job with this key can meet: 0 for the first,
   * 8 if it can meet none.
   */
  static int tier(long key) {
    return (int) Math.min(key / TIER_WIDTH, LATE_TIER);
  }

  /** Returns whether a job would miss all its deadline objectives even if it started now. */
  boolean isLate(Job job, long wallMicros) {
    double lastMultiple = 0;
    for (double multiple : objectives.deadlineMultiplesOf(job)) {
      lastMultiple = Math.max(lastMultiple, multiple);
    }
    return job.spec().deadlineMicros() > 0
        && wallMicros + estimates.runMicros(job.spec()) > dueMicros(job, lastMultiple);
  }

  private static long dueMicros(Job job, double multiple) {
    return job.submittedMicros() + (long) (job.spec().deadlineMicros() * multiple);
  }

  /** Recomputes the order if jobs have changed or the refresh interval has passed. */
  void refresh(long nowMicros, long wallMicros, TaskSlots taskSlots) {
    if (nowMicros < nextRefreshMicros && seenChangeCount == jobs.changeCount()) {
      return;
    }
    nextRefreshMicros = nowMicros + REFRESH_INTERVAL_MICROS;
    seenChangeCount = jobs.changeCount();
    refreshedWallMicros = wallMicros;
    inheritance.refresh();
    keyByJob.clear();
    List<Job> jobsWithDeadlines = activeJobsWithDeadlines();
    int slots = jobsWithDeadlines.isEmpty() ? 0 : slots(jobsWithDeadlines, taskSlots);
    List<Job> remaining = new ArrayList<>();
    long workMicros = prioritizeObjectivesAtRisk(jobsWithDeadlines, wallMicros, remaining);
    int tiers = objectives.deadlineMultiples().size();
    for (int tier = 0; tier < tiers && !remaining.isEmpty(); tier++) {
      List<Job> deferred = new ArrayList<>();
      workMicros = admit(remaining, tier, Math.max(1, slots), workMicros, wallMicros, deferred);
      remaining = deferred;
    }
    for (Job job : remaining) {
      keyByJob.put(job.id(), LATE_KEY + job.submittedMicros());
    }
  }

  private List<Job> activeJobsWithDeadlines() {
    List<Job> found = new ArrayList<>();
    for (Job job : jobs.active()) {
      if (job.spec().deadlineMicros() > 0) {
        found.add(job);
      }
    }
    return found;
  }

  /** Returns how many tasks with deadlines can run at once; at least the number running now. */
  private int slots(List<Job> jobsWithDeadlines, TaskSlots taskSlots) {
    int running = 0;
    for (Job job : jobsWithDeadlines) {
      for (Slice slice : slices.ofJob(job.id())) {
        running += slice.liveCount();
      }
    }
    // All jobs with deadlines are assumed to require the same resources as the first of them.
    return Math.max(running, taskSlots.count(jobsWithDeadlines.get(0).spec()));
  }

  /**
   * Sets the keys of jobs whose next objective other than a deadline is at risk, so that they are
   * ordered by that objective, among the first jobs. An objective is at risk when most of the time
   * for it has passed. Without this, the largest jobs, which are deferred for their deadlines,
   * would wait until an overload ends, however long it lasts.
   *
   * @param others receives the jobs without an objective at risk
   * @return the work of the jobs with an objective at risk, in microseconds
   */
  private long prioritizeObjectivesAtRisk(
      List<Job> jobsWithDeadlines, long wallMicros, List<Job> others) {
    long workMicros = 0;
    for (Job job : jobsWithDeadlines) {
      long dueMicros = dueMicrosAtRisk(job, wallMicros);
      if (dueMicros > 0) {
        keyByJob.put(job.id(), dueMicros);
        workMicros += pendingWorkMicros(job, estimates.runMicros(job.spec()));
      } else {
        others.add(job);
      }
    }
    return workMicros;
  }

  /**
   * Returns the time of day by which a job must end for its next objective that is at risk, apart
   * from deadlines. Returns 0 if no such objective can still be met, or if more than the fraction
   * {@link Policy.Name#LAST_CALL} of the time for it is left.
   */
  private long dueMicrosAtRisk(Job job, long wallMicros) {
    long runMicros = estimates.runMicros(job.spec());
    long nextLatestStartMicros = Long.MAX_VALUE;
    for (Settings.Objective objective : objectives.otherObjectivesOf(job)) {
      long withinMicros = objective.withinMicros() - START_DELAY_MICROS;
      long latestStartMicros =
          objective.kind() == ObjectiveKind.WAIT
              ? withinMicros
              : withinMicros - runMicros - COMPLETION_DELAY_MICROS;
      if (job.readyMicros() + latestStartMicros >= wallMicros) {
        nextLatestStartMicros = Math.min(nextLatestStartMicros, latestStartMicros);
      }
    }
    double remainingFraction = policy.number(Policy.Name.LAST_CALL);
    boolean atRisk =
        nextLatestStartMicros < Long.MAX_VALUE
            && wallMicros - job.readyMicros() >= nextLatestStartMicros * (1 - remainingFraction);
    return atRisk ? job.readyMicros() + nextLatestStartMicros + runMicros : 0;
  }

  /**
   * Admits jobs for one multiple of their deadlines and sets the keys of the admitted jobs.
   *
   * @param workBefore the work of all jobs that come earlier in the order, in microseconds
   * @param deferred receives the jobs that can't be in time
   * @return {@code workBefore} plus the work of the admitted jobs, in microseconds
   */
  private long admit(
      List<Job> jobsWithDeadlines,
      int tier,
      int slots,
      long workBefore,
      long wallMicros,
      List<Job> deferred) {
    List<Candidate> candidates =
        candidates(jobsWithDeadlines, objectives.deadlineMultiples().get(tier), deferred);
    PriorityQueue<Candidate> admitted =
        new PriorityQueue<>(
            Comparator.comparingLong(Candidate::workMicros)
                .reversed()
                .thenComparing(candidate -> candidate.job().id()));
    long workMicros = workBefore;
    for (Candidate candidate : candidates) {
      if (!isFeasibleAlone(candidate, wallMicros)) {
        deferred.add(candidate.job());
        continue;
      }
      admitted.add(candidate);
      workMicros += candidate.workMicros();
      if (wallMicros + workMicros / slots > candidate.dueMicros()) {
        Candidate largest = admitted.poll();
        workMicros -= largest.workMicros();
        deferred.add(largest.job());
      }
    }
    for (Candidate candidate : admitted) {
      keyByJob.put(candidate.job().id(), candidate.dueMicros() + tier * TIER_WIDTH);
    }
    return workMicros;
  }

  /**
   * Returns the jobs whose class has an objective for the multiple, sorted by due time. All other
   * jobs are added to {@code deferred}.
   */
  private List<Candidate> candidates(
      List<Job> jobsWithDeadlines, double multiple, List<Job> deferred) {
    List<Candidate> candidates = new ArrayList<>();
    for (Job job : jobsWithDeadlines) {
      if (objectives.deadlineMultiplesOf(job).contains(multiple)) {
        long dueMicros = dueMicros(job, multiple) - COMPLETION_DELAY_MICROS;
        long runMicros = estimates.runMicros(job.spec());
        candidates.add(new Candidate(job, pendingWorkMicros(job, runMicros), runMicros, dueMicros));
      } else {
        deferred.add(job);
      }
    }
    candidates.sort(
        Comparator.comparingLong(Candidate::dueMicros)
            .thenComparing(candidate -> candidate.job().id()));
    return candidates;
  }

  /** Returns whether a job would be in time if its tasks started now, or has no pending tasks. */
  private static boolean isFeasibleAlone(Candidate candidate, long wallMicros) {
    return wallMicros + START_DELAY_MICROS + candidate.runMicros() <= candidate.dueMicros()
        || candidate.workMicros() == 0;
  }

  /** Returns the run time of all pending tasks of a job, including their start delays. */
  private long pendingWorkMicros(Job job, long runMicros) {
    long tasks = 0;
    for (Slice slice : slices.ofJob(job.id())) {
      tasks += slice.pendingCount();
    }
    return (runMicros + START_DELAY_MICROS) * tasks;
  }
}
