package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.lifecycle.GracePeriod;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.workers.Worker;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Which tasks may be stopped for another: those of lower priority, and what another team runs
 * beyond its own guarantee where that brings a team its guarantee.
 */
public final class Preemption {
  private static final double MICROS = 1e6;

  /** Finished tasks make room within a guarantee: so often that is looked at. */
  private static final long GUARANTEED_MICROS = 250_000;

  private final Settings settings;
  private final Policy policy;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final Function<Job, JobSpec.Priority> rankOf;

  /** CPUs and GPUs by team over all shards, worked out anew for each pass. */
  private final Map<String, long[]> used = new HashMap<>();

  private final Set<String> guaranteed = new HashSet<>();
  private boolean equalRanks;
  private long seenChanges = -1;
  private long nextGuaranteedMicros;

  /**
   * A job keeps what it has by the rank that {@code rankOf} says, which may come from a job that
   * waits for it; others are stopped for it by its own rank alone.
   */
  Preemption(
      Settings settings,
      Policy policy,
      JobRegistry jobs,
      SliceRegistry slices,
      Function<Job, JobSpec.Priority> rankOf) {
    this.rankOf = rankOf;
    this.settings = settings;
    this.policy = policy;
    this.jobs = jobs;
    this.slices = slices;
  }

  /** Victims on one machine and what stopping them loses, in seconds of work. */
  record Plan(List<Attempt> victims, double lossS) {}

  static final Plan NOTHING = new Plan(List.of(), 0);

  /** Counts anew what each team uses, and now and then which jobs are within a guarantee. */
  void refresh(int shards, long nowMicros) {
    if (jobs.changeCount() != seenChanges || nowMicros >= nextGuaranteedMicros) {
      seenChanges = jobs.changeCount();
      nextGuaranteedMicros = nowMicros + GUARANTEED_MICROS;
      findGuaranteed();
    }
    used.clear();
    for (int shard = 0; shard < shards; shard++) {
      for (Slice s : slices.inShard(shard)) {
        int live = s.liveCount();
        if (live > 0) {
          long[] sum = used.computeIfAbsent(s.team(), t -> new long[2]);
          sum[0] += s.cpus() * live;
          sum[1] += s.gpus() * live;
        }
      }
    }
  }

  private long[] used(String team) {
    return used.computeIfAbsent(team, t -> new long[2]);
  }

  /**
   * Whether a job fits into its team's guarantee together with the team's earlier unfinished jobs.
   * Such a job goes before others of its priority, and only jobs that are not like that may be
   * stopped for it: so nothing is stopped by turns.
   */
  boolean guaranteed(String job) {
    return guaranteed.contains(job);
  }

  private void findGuaranteed() {
    guaranteed.clear();
    Map<String, long[]> sums = new HashMap<>();
    List<Job> order = new ArrayList<>(jobs.active());
    order.sort(Comparator.comparingLong(Job::submittedMicros).thenComparing(Job::id));
    for (Job job : order) {
      JobSpec spec = job.spec();
      Settings.Team team = settings.teams().get(spec.team());
      long open = job.tasks();
      for (Slice s : slices.ofJob(job.id())) {
        open -= s.done().cardinality();
      }
      long[] sum = sums.computeIfAbsent(spec.team(), t -> new long[2]);
      sum[0] += spec.cpus() * open;
      sum[1] += spec.gpus() * open;
      if (team != null && sum[0] <= team.cpus() && (spec.gpus() == 0 || sum[1] <= team.gpus())) {
        guaranteed.add(job.id());
      }
    }
  }

  /** Whether a team keeps its guarantee without a task. */
  private boolean beyondGuarantee(Slice s) {
    Settings.Team team = settings.teams().get(s.team());
    long[] u = used(s.team());
    return team != null
        && u[0] - s.cpus() >= team.cpus()
        && (s.gpus() == 0 || u[1] - s.gpus() >= team.gpus());
  }

  private boolean mayStop(JobSpec spec, Attempt a, long nowMicros) {
    Job job = jobs.active(a.slice().job());
    if (job == null || a.closed() || a.killRequested() || !a.committed()) {
      return false;
    }
    if (rankOf.apply(job).ordinal() > spec.priority().ordinal()) {
      return true;
    }
    return equalRanks
        && !job.spec().team().equals(spec.team())
        && job.spec().priority().ordinal() >= spec.priority().ordinal()
        && guaranteed(spec.id())
        && !guaranteed(job.id())
        && lossS(a, nowMicros) <= policy.number(Policy.Name.YOUNG)
        && beyondGuarantee(a.slice());
  }

  private record Asker(
      JobSpec.Priority rank, String team, boolean guaranteed, boolean equalRanks) {}

  private final Map<Asker, Boolean> victims = new HashMap<>();

  /** Whether work of the same rank may be stopped for what is looked at next. */
  void patience(boolean over) {
    equalRanks = over;
  }

  /** A new pass begins: what may be stopped is looked at anew. */
  void forgetVictims() {
    victims.clear();
  }

  /** Whether anything may be stopped for a job at all: most often nothing, and one look tells. */
  boolean anyVictim(JobSpec spec, Collection<Worker> workers, long nowMicros) {
    return victims.computeIfAbsent(
        new Asker(spec.priority(), spec.team(), guaranteed(spec.id()), equalRanks),
        asker -> {
          for (Worker w : workers) {
            for (Attempt a : w.attempts().values()) {
              if (mayStop(spec, a, nowMicros)) {
                return true;
              }
            }
          }
          return false;
        });
  }

  /** What stopping a task loses, in seconds of its machine's work. */
  private double lossS(Attempt a, long nowMicros) {
    if (a.runningSinceMicros() == 0) {
      return 0.5;
    }
    JobSpec spec = jobs.active(a.slice().job()).spec();
    double ran = (nowMicros - a.runningSinceMicros()) / MICROS;
    double lost =
        spec.checkpointIntervalMicros() > 0
            ? Math.min(ran, 2 + spec.checkpointMicros() / MICROS)
            : ran;
    // What takes more of the machine loses more with it.
    return (lost + 1) * (1 + a.slice().gpus() / 1000.0);
  }

  /** The cheapest victims that make room for a task on a machine; null if that can't be. */
  Plan plan(CandidateMachine room, JobSpec spec, Set<Attempt> taken, long nowMicros) {
    List<Attempt> able = new ArrayList<>();
    for (Attempt a : room.worker.attempts().values()) {
      if (!taken.contains(a) && mayStop(spec, a, nowMicros)) {
        able.add(a);
      }
    }
    able.sort(Comparator.comparingDouble(a -> lossS(a, nowMicros)));
    long c = room.freeCpus + room.terminatingCpus - spec.cpus();
    long g = room.freeGpus + room.terminatingGpus - spec.gpus();
    long m = room.freeMemory + room.terminatingMemory - spec.memory();
    List<Attempt> victims = new ArrayList<>();
    double loss = 0;
    for (Attempt a : able) {
      if (c >= 0 && g >= 0 && m >= 0) {
        break;
      }
      Slice s = a.slice();
      boolean helps =
          (c < 0 && s.cpus() > 0) || (g < 0 && s.gpus() > 0) || (m < 0 && s.memory() > 0);
      if (helps) {
        victims.add(a);
        loss += lossS(a, nowMicros);
        c += s.cpus();
        g += s.gpus();
        m += s.memory();
      }
    }
    return c >= 0 && g >= 0 && m >= 0 ? new Plan(victims, loss) : null;
  }

  /** The grace with which a task is stopped: enough to save if it can, else none. */
  double graceS(Attempt a) {
    Job job = jobs.active(a.slice().job());
    return job == null ? 0 : GracePeriod.seconds(job.spec());
  }

  /** Notes that a task is to be stopped. */
  void stopped(Attempt a) {
    long[] u = used(a.slice().team());
    u[0] -= a.slice().cpus();
    u[1] -= a.slice().gpus();
  }

  /** Notes that a task is to be started. */
  void started(JobSpec spec) {
    long[] u = used(spec.team());
    u[0] += spec.cpus();
    u[1] += spec.gpus();
  }
}
