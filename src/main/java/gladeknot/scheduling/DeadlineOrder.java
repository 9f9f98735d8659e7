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
 * The order of jobs with deadlines when not all of them can be in time.
 *
 * <p>Earliest deadline first makes every job a little late under overload. So jobs are admitted by
 * their deadlines as long as the machines that serve such work now can finish all of them in time;
 * when one would be late, the largest admitted so far is deferred: that keeps the most jobs in time
 * (the rule of Moore and Hodgson). Deferred jobs are considered again for the class's next
 * objective, a multiple of the deadline; those that are late for all of them are ordered by age.
 */
final class DeadlineOrder {
  /** Keys of jobs that are late for all their deadlines begin here. */
  static final long LATE_KEY = Long.MAX_VALUE / 4;

  /** The last tier, that of late jobs. */
  private static final int LATE_TIER = 8;

  /** Far more than any time of day: what can be in time for an earlier objective comes first. */
  private static final long TIER_WIDTH = LATE_KEY / LATE_TIER;

  private static final long REFRESH_MICROS = 300_000;

  /** From the end of a task to the answer that reports it. */
  private static final long COMPLETION_MICROS = 3_000_000;

  /** From a decision to a running task. */
  private static final long START_MICROS = 1_500_000;

  /** A job that may be admitted: the work that is left of it and when that has to end. */
  private record Candidate(Job job, long workMicros, long runMicros, long dueMicros) {}

  /** How many tasks of a job the machines, running or launching, can run at once. */
  interface TaskSlots {
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

  /** The position of a job among those of its priority: the lowest key comes first. */
  long key(Job job) {
    if (job.spec().deadlineMicros() == 0) {
      return inheritedKey(job);
    }
    Long key = keyByJob.get(job.id());
    return key == null ? job.submittedMicros() + job.spec().deadlineMicros() : key;
  }

  /** A job without a deadline takes that of its pipeline, as long as it can be met. */
  private long inheritedKey(Job job) {
    long latestEnd = inheritance.latestEndMicros(job);
    boolean inTime =
        latestEnd < PriorityInheritance.NEVER
            && refreshedWallMicros + START_MICROS + estimates.runMicros(job.spec()) <= latestEnd;
    return inTime ? latestEnd : LATE_KEY - 1;
  }

  /** A job's priority, or that of the most urgent job that depends on it. */
  JobSpec.Priority priority(Job job) {
    return inheritance.priority(job);
  }

  /** By when a job has to end for its pipeline to be in time; see {@link PriorityInheritance}. */
  long latestEndMicros(Job job) {
    return inheritance.latestEndMicros(job);
  }

  /** Which of its deadline objectives a job with such a key can meet: 0 is the first, 8 none. */
  static int tier(long key) {
    return (int) Math.min(key / TIER_WIDTH, LATE_TIER);
  }

  /** Whether a job is late for all its deadlines, however soon its tasks run. */
  boolean isLate(Job job, long wallMicros) {
    double last = 0;
    for (double multiple : objectives.multiplesOf(job)) {
      last = Math.max(last, multiple);
    }
    return job.spec().deadlineMicros() > 0
        && wallMicros + estimates.runMicros(job.spec()) > dueMicros(job, last);
  }

  private static long dueMicros(Job job, double multiple) {
    return job.submittedMicros() + (long) (job.spec().deadlineMicros() * multiple);
  }

  /** Computes the order anew if jobs have changed or the last time is long enough ago. */
  void refresh(long nowMicros, long wallMicros, TaskSlots taskSlots) {
    if (nowMicros < nextRefreshMicros && seenChangeCount == jobs.changeCount()) {
      return;
    }
    nextRefreshMicros = nowMicros + REFRESH_MICROS;
    seenChangeCount = jobs.changeCount();
    refreshedWallMicros = wallMicros;
    inheritance.refresh();
    keyByJob.clear();
    List<Job> open = jobsWithDeadlines();
    int slots = open.isEmpty() ? 0 : slots(open, taskSlots);
    List<Job> remaining = new ArrayList<>();
    long workMicros = prioritizeLastChances(open, wallMicros, remaining);
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

  private List<Job> jobsWithDeadlines() {
    List<Job> found = new ArrayList<>();
    for (Job job : jobs.active()) {
      if (job.spec().deadlineMicros() > 0) {
        found.add(job);
      }
    }
    return found;
  }

  /** How many tasks with deadlines run at once: as many as now at least. */
  private int slots(List<Job> open, TaskSlots taskSlots) {
    int running = 0;
    for (Job job : open) {
      for (Slice slice : slices.ofJob(job.id())) {
        running += slice.liveCount();
      }
    }
    // Jobs with deadlines are taken to be alike: the first stands for all.
    return Math.max(running, taskSlots.count(open.get(0).spec()));
  }

  /**
   * Jobs that were deferred for their deadlines have other objectives still: they come first again
   * once most of the time for the next of those is over. Without that, the largest would wait for
   * the end of an overload, however long it lasts.
   *
   * @return the work of these jobs; all others are added to {@code others}
   */
  private long prioritizeLastChances(List<Job> open, long wallMicros, List<Job> others) {
    long workMicros = 0;
    for (Job job : open) {
      long lastChance = lastChanceMicros(job, wallMicros);
      if (lastChance > 0) {
        keyByJob.put(job.id(), lastChance);
        workMicros += pendingWorkMicros(job, estimates.runMicros(job.spec()));
      } else {
        others.add(job);
      }
    }
    return workMicros;
  }

  /**
   * By when a job must be done for its next objective apart from deadlines that can still be met,
   * if that time is near; 0 if there is none.
   */
  private long lastChanceMicros(Job job, long wallMicros) {
    long run = estimates.runMicros(job.spec());
    long next = Long.MAX_VALUE;
    for (Settings.Objective objective : objectives.othersOf(job)) {
      long within = objective.withinMicros() - START_MICROS;
      long latestStart =
          objective.kind() == ObjectiveKind.WAIT ? within : within - run - COMPLETION_MICROS;
      if (job.readyMicros() + latestStart >= wallMicros) {
        next = Math.min(next, latestStart);
      }
    }
    double fraction = policy.number(Policy.Name.LAST_CALL);
    boolean near = next < Long.MAX_VALUE && wallMicros - job.readyMicros() >= next * (1 - fraction);
    return near ? job.readyMicros() + next + run : 0;
  }

  /**
   * Admits jobs for one multiple of their deadlines, and gives them their keys.
   *
   * @param workBefore the work of all jobs that come before these
   * @param deferred takes the jobs that can't be in time
   * @return the work including that of the jobs admitted
   */
  private long admit(
      List<Job> open, int tier, int slots, long workBefore, long wallMicros, List<Job> deferred) {
    List<Candidate> candidates =
        candidates(open, objectives.deadlineMultiples().get(tier), deferred);
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

  /** The jobs whose class has an objective for that multiple, by due time; others are deferred. */
  private List<Candidate> candidates(List<Job> open, double multiple, List<Job> deferred) {
    List<Candidate> candidates = new ArrayList<>();
    for (Job job : open) {
      if (objectives.multiplesOf(job).contains(multiple)) {
        long due = dueMicros(job, multiple) - COMPLETION_MICROS;
        long run = estimates.runMicros(job.spec());
        candidates.add(new Candidate(job, pendingWorkMicros(job, run), run, due));
      } else {
        deferred.add(job);
      }
    }
    candidates.sort(
        Comparator.comparingLong(Candidate::dueMicros)
            .thenComparing(candidate -> candidate.job().id()));
    return candidates;
  }

  /** Whether a job would be in time if its tasks started now, or has none left to start. */
  private static boolean isFeasibleAlone(Candidate candidate, long wallMicros) {
    return wallMicros + START_MICROS + candidate.runMicros() <= candidate.dueMicros()
        || candidate.workMicros() == 0;
  }

  /** The run time of all of a job's pending tasks. */
  private long pendingWorkMicros(Job job, long runMicros) {
    long tasks = 0;
    for (Slice slice : slices.ofJob(job.id())) {
      tasks += slice.pendingCount();
    }
    return (runMicros + START_MICROS) * tasks;
  }
}
