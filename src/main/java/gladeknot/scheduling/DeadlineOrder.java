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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * In which order jobs with deadlines are served when not all of them can be in time.
 *
 * <p>By due time alone, an overload makes every job late by a little. So jobs are taken in by due
 * time as long as the machines that serve such work now can finish all of them in time; when one
 * would be late, the largest taken in so far is put off: that keeps the most jobs in time. Those
 * put off are looked at again by the class's next deadline, and after that go by age.
 */
final class DeadlineOrder {
  /** Keys of work that is late for all its deadlines begin here. */
  static final long LATE_KEY = Long.MAX_VALUE / 4;

  private static final long TIER = LATE_KEY / 8;

  private static final long AGAIN_MICROS = 300_000;

  /** From the end of a task to the answer that tells of it. */
  private static final long TOLD_MICROS = 3_000_000;

  /** What lies between a decision and a task at work. */
  private static final long START_MICROS = 1_500_000;

  private record Entry(Job job, long workMicros, long runMicros, long dueMicros) {}

  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final RuntimeEstimates estimates;
  private final List<Double> times;
  private final Map<String, Map<Double, Boolean>> known = new HashMap<>();

  /** By class, what is wanted of its jobs besides deadlines: a start or an end within a time. */
  private final Map<String, List<Settings.Objective>> others = new HashMap<>();

  private final Policy policy;
  private final PriorityInheritance inherited;
  private final Map<String, Long> keys = new HashMap<>();
  private long nextMicros;
  private long seenChanges = -1;
  private long seenWallMicros;

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
    this.inherited = new PriorityInheritance(jobs, estimates);
    Set<Double> all = new HashSet<>();
    for (Settings.Objective o : settings.objectives()) {
      if (o.kind() == ObjectiveKind.DEADLINE) {
        known.computeIfAbsent(o.jobClass(), c -> new HashMap<>()).put(o.times(), true);
        all.add(o.times());
      } else if (o.jobClass() != null
          && (o.kind() == ObjectiveKind.WAIT || o.kind() == ObjectiveKind.FINISHED)) {
        others.computeIfAbsent(o.jobClass(), c -> new ArrayList<>()).add(o);
      }
    }
    times = all.stream().sorted().toList();
  }

  /** The order of a job among those of its rank; lower goes first. */
  long key(Job job) {
    if (job.spec().deadlineMicros() == 0) {
      return inheritedKey(job);
    }
    Long key = keys.get(job.id());
    return key == null ? job.submittedMicros() + job.spec().deadlineMicros() : key;
  }

  /** A job without a deadline goes by that of its pipeline, as long as it can be met. */
  private long inheritedKey(Job job) {
    long latest = inherited.latestEndMicros(job);
    boolean inTime =
        latest < PriorityInheritance.NEVER
            && seenWallMicros + START_MICROS + estimates.runMicros(job.spec()) <= latest;
    return inTime ? latest : LATE_KEY - 1;
  }

  /** A job's rank, or that of the most urgent job that waits for it. */
  JobSpec.Priority priority(Job job) {
    return inherited.priority(job);
  }

  /** By when a job has to end for its pipeline to be in time; see {@link PriorityInheritance}. */
  long latestEndMicros(Job job) {
    return inherited.latestEndMicros(job);
  }

  /** Which of its deadlines a job with such a key can be in time for. */
  static int tier(long key) {
    return (int) Math.min(key / TIER, 8);
  }

  /** Whether a job is late for all its deadlines, however soon its tasks run. */
  boolean late(Job job, long wallMicros) {
    double last = 0;
    for (double time : known.getOrDefault(job.spec().jobClass(), Map.of()).keySet()) {
      last = Math.max(last, time);
    }
    return job.spec().deadlineMicros() > 0
        && wallMicros + estimates.runMicros(job.spec())
            > job.submittedMicros() + (long) (job.spec().deadlineMicros() * last);
  }

  /** How many tasks of a job the machines, there or coming, have places for. */
  interface Places {
    int of(JobSpec spec);
  }

  /** Works the order out anew, now and then. */
  void refresh(long nowMicros, long wallMicros, Places places) {
    if (nowMicros < nextMicros && seenChanges == jobs.changeCount()) {
      return;
    }
    nextMicros = nowMicros + AGAIN_MICROS;
    seenChanges = jobs.changeCount();
    seenWallMicros = wallMicros;
    inherited.refresh();
    keys.clear();
    List<Job> open = new ArrayList<>();
    int slots = 0;
    for (Job job : jobs.active()) {
      if (job.spec().deadlineMicros() > 0) {
        open.add(job);
        for (Slice s : slices.ofJob(job.id())) {
          slots += s.liveCount();
        }
      }
    }
    if (!open.isEmpty()) {
      slots = Math.max(slots, places.of(open.get(0).spec()));
    }
    // What was put off for its deadlines has other aims still: it goes among the first again once
    // most of the time for the next of those is over. Without that, the largest would wait for the
    // end of an overload, however long it lasts.
    long doneWork = 0;
    List<Job> inTime = new ArrayList<>();
    for (Job job : open) {
      long latest = lastCallMicros(job, wallMicros);
      if (latest > 0) {
        keys.put(job.id(), latest);
        doneWork += (estimates.runMicros(job.spec()) + START_MICROS) * todo(job);
      } else {
        inTime.add(job);
      }
    }
    open = inTime;
    for (int i = 0; i < times.size() && !open.isEmpty(); i++) {
      List<Job> late = new ArrayList<>();
      doneWork = takeIn(open, times.get(i), i, Math.max(1, slots), doneWork, wallMicros, late);
      open = late;
    }
    for (Job job : open) {
      keys.put(job.id(), LATE_KEY + job.submittedMicros());
    }
  }

  /**
   * By when a job must be done for the next aim, deadlines apart, that can still be met, if that
   * comes near; 0 if none does.
   */
  private long lastCallMicros(Job job, long wall) {
    long run = estimates.runMicros(job.spec());
    long next = Long.MAX_VALUE;
    for (Settings.Objective o : others.getOrDefault(job.spec().jobClass(), List.of())) {
      long within = o.withinMicros() - START_MICROS;
      long start = o.kind() == ObjectiveKind.WAIT ? within : within - run - TOLD_MICROS;
      if (job.readyMicros() + start >= wall) {
        next = Math.min(next, start);
      }
    }
    double early = policy.number(Policy.Name.LAST_CALL);
    boolean near = next < Long.MAX_VALUE && wall - job.readyMicros() >= next * (1 - early);
    return near ? job.readyMicros() + next + run : 0;
  }

  private long takeIn(
      List<Job> open, double time, int tier, int slots, long before, long wall, List<Job> late) {
    List<Entry> entries = new ArrayList<>();
    for (Job job : open) {
      if (known.getOrDefault(job.spec().jobClass(), Map.of()).containsKey(time)) {
        long run = estimates.runMicros(job.spec());
        long due =
            job.submittedMicros() + (long) (job.spec().deadlineMicros() * time) - TOLD_MICROS;
        entries.add(new Entry(job, (run + START_MICROS) * todo(job), run, due));
      } else {
        late.add(job);
      }
    }
    entries.sort(Comparator.comparingLong(Entry::dueMicros).thenComparing(e -> e.job().id()));
    PriorityQueue<Entry> taken =
        new PriorityQueue<>(
            Comparator.comparingLong(Entry::workMicros)
                .reversed()
                .thenComparing(e -> e.job().id()));
    long work = before;
    for (Entry e : entries) {
      boolean alone = wall + START_MICROS + e.runMicros() <= e.dueMicros() || e.workMicros() == 0;
      if (!alone) {
        late.add(e.job());
        continue;
      }
      taken.add(e);
      work += e.workMicros();
      if (wall + work / slots > e.dueMicros()) {
        Entry largest = taken.poll();
        work -= largest.workMicros();
        late.add(largest.job());
      }
    }
    for (Entry e : taken) {
      // Tiers lie far apart: what can be in time for an earlier one goes first.
      keys.put(e.job().id(), e.dueMicros() + tier * TIER);
    }
    return work;
  }

  private int todo(Job job) {
    int sum = 0;
    for (Slice s : slices.ofJob(job.id())) {
      sum += s.pendingCount();
    }
    return sum;
  }
}
