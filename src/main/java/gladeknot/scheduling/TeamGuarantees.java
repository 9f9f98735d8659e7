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

/** Which jobs are within their team's guarantee, and which tasks a team runs beyond its own. */
final class TeamGuarantees {
  /** Tasks that end bring further jobs within a guarantee: so often that is computed anew. */
  private static final long REFRESH_MICROS = 250_000;

  private final Settings settings;
  private final JobRegistry jobs;
  private final SliceRegistry slices;

  /** By team, what its tasks use over all shards: with what the current cycle has decided. */
  private final Map<String, ResourceUsage> usage = new HashMap<>();

  private final Set<String> guaranteedJobs = new HashSet<>();
  private long seenChangeCount = -1;
  private long nextRefreshMicros;

  TeamGuarantees(Settings settings, JobRegistry jobs, SliceRegistry slices) {
    this.settings = settings;
    this.jobs = jobs;
    this.slices = slices;
  }

  /** Sums up what each team uses and, if it is due, which jobs are within a guarantee. */
  void refresh(int shardCount, long nowMicros) {
    if (jobs.changeCount() != seenChangeCount || nowMicros >= nextRefreshMicros) {
      seenChangeCount = jobs.changeCount();
      nextRefreshMicros = nowMicros + REFRESH_MICROS;
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
   * Whether a job fits into its team's guarantee together with the team's earlier unfinished jobs.
   * Such a job takes precedence over others of its priority, and only jobs that are not guaranteed
   * may be preempted for it: so two jobs never preempt each other in turns.
   */
  boolean isGuaranteed(String job) {
    return guaranteedJobs.contains(job);
  }

  /** Whether the team of a slice keeps its guarantee without one of the slice's tasks. */
  boolean isBeyondGuarantee(Slice slice) {
    Settings.Team team = settings.teams().get(slice.team());
    return team != null
        && usage(slice.team()).exceedsGuaranteeWithout(slice.cpus(), slice.gpus(), team);
  }

  /** Notes that a task is to be started. */
  void onStart(JobSpec spec) {
    usage(spec.team()).add(spec.cpus(), spec.gpus(), 1);
  }

  /** Notes that a task of a slice is to be preempted. */
  void onPreemption(Slice slice) {
    usage(slice.team()).add(slice.cpus(), slice.gpus(), -1);
  }

  private ResourceUsage usage(String team) {
    return usage.computeIfAbsent(team, name -> new ResourceUsage());
  }

  private void findGuaranteedJobs() {
    guaranteedJobs.clear();
    Map<String, ResourceUsage> demand = new HashMap<>();
    List<Job> byAge = new ArrayList<>(jobs.active());
    byAge.sort(Comparator.comparingLong(Job::submittedMicros).thenComparing(Job::id));
    for (Job job : byAge) {
      JobSpec spec = job.spec();
      Settings.Team team = settings.teams().get(spec.team());
      ResourceUsage sum = demand.computeIfAbsent(spec.team(), name -> new ResourceUsage());
      sum.add(spec.cpus(), spec.gpus(), unfinishedTasks(job));
      if (team != null && sum.isWithinGuarantee(team, spec.gpus() > 0)) {
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
