package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.settings.Settings;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Determines which jobs are within their team's guarantee, and which tasks run beyond it. */
final class TeamGuarantees {
  /**
   * Interval at which the guaranteed jobs are recomputed even if no job changes, in microseconds.
   * Tasks that end bring further jobs within a guarantee.
   */
  private static final long REFRESH_INTERVAL_MICROS = 250_000;

  private final Settings settings;
  private final JobRegistry jobs;
  private final SliceRegistry slices;

  /** By team, the usage of its tasks in all shards, including decisions of the current cycle. */
  private final Map<String, ResourceUsage> usage = new HashMap<>();

  private final Set<String> guaranteedJobs = new HashSet<>();
  private long seenChangeCount = -1;
  private long nextRefreshMicros;

  TeamGuarantees(Settings settings, JobRegistry jobs, SliceRegistry slices) {
    this.settings = settings;
    this.jobs = jobs;
    this.slices = slices;
  }

  /** Recomputes the usage of each team and, if due, which jobs are within a guarantee. */
  void refresh(int shardCount, long nowMicros) {
    if (jobs.changeCount() != seenChangeCount || nowMicros >= nextRefreshMicros) {
      seenChangeCount = jobs.changeCount();
      nextRefreshMicros = nowMicros + REFRESH_INTERVAL_MICROS;
      findGuaranteedJobs();
    }
    usage.clear();
    for (int shard = 0; shard < shardCount; shard++) {
      for (Slice slice : slices.inShard(shard)) {
        int live = slice.liveCount();
        if (live > 0) {
          usage(slice.team()).add(slice.cpus(), slice.gpus(), live);
        }
      }
    }
  }

  /**
   * Returns whether a job fits into its team's guarantee together with the team's earlier
   * unfinished jobs. A guaranteed job takes precedence over other jobs of its priority. Only jobs
   * that are not guaranteed may be preempted for it, so two jobs never preempt each other in turn.
   */
  boolean isGuaranteed(String job) {
    return guaranteedJobs.contains(job);
  }

  /** Returns whether the team of a slice keeps its guarantee without one task of the slice. */
  boolean isBeyondGuarantee(Slice slice) {
    Settings.Team team = settings.teams().get(slice.team());
    return team != null
        && usage(slice.team()).exceedsGuaranteeWithout(slice.cpus(), slice.gpus(), team);
  }

  /** Adds a task that will be started to the usage of its team. */
  void onStart(JobSpec spec) {
    usage(spec.team()).add(spec.cpus(), spec.gpus(), 1);
  }

  /** Subtracts a task of a slice that will be preempted from the usage of its team. */
  void onPreemption(Slice slice) {
    usage(slice.team()).add(slice.cpus(), slice.gpus(), -1);
  }

  private ResourceUsage usage(String team) {
    return usage.computeIfAbsent(team, name -> new ResourceUsage());
  }

  private void findGuaranteedJobs() {
    guaranteedJobs.clear();
    Map<String, ResourceUsage> demandByTeam = new HashMap<>();
    List<Job> byAge = new ArrayList<>(jobs.active());
    byAge.sort(Comparator.comparingLong(Job::submittedMicros).thenComparing(Job::id));
    for (Job job : byAge) {
      JobSpec spec = job.spec();
      Settings.Team team = settings.teams().get(spec.team());
      ResourceUsage teamDemand =
          demandByTeam.computeIfAbsent(spec.team(), name -> new ResourceUsage());
      teamDemand.add(spec.cpus(), spec.gpus(), unfinishedTasks(job));
      if (team != null && teamDemand.isWithinGuarantee(team, spec.gpus() > 0)) {
        guaranteedJobs.add(job.id());
      }
    }
  }

  private long unfinishedTasks(Job job) {
    long count = job.tasks();
    for (Slice slice : slices.ofJob(job.id())) {
      count -= slice.done().cardinality();
    }
    return count;
  }
}
