package gladeknot.scheduling;

import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.policy.Policy;
import gladeknot.quota.QuotaAllocator;
import gladeknot.settings.Settings;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.tasks.SliceRegistry;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/**
 * Runs scheduling cycles for the shards that this controller owns, and answers the fleet's
 * questions on jobs and machines. It runs on the controller's single thread.
 */
public final class Scheduler {
  /** The shortest interval between two rounds, in a fleet of few machines. */
  private static final long ROUND_INTERVAL_MICROS = 60_000;

  /**
   * For so many machines in each shard the shortest interval holds, and a longer one in proportion
   * for more: a cycle visits all of them. What it decides waits for a commit, which takes longer.
   */
  private static final double MACHINES_PER_SHORT_ROUND = 25;

  private static final double MAX_BACK_OFF_FACTOR = 8;

  /** A round comes after that time even if no event asked for it: time makes workers usable too. */
  private static final long MAX_IDLE_MICROS = 400_000;

  /** From a decision to a running task, as long as the start hasn't been reported. */
  private static final long START_MICROS = 4_000_000;

  /** Until a task that is being terminated, or whose job is over, has exited. */
  private static final long TERMINATION_MICROS = 1_000_000;

  /** A task that exceeds its estimate is expected to run for this part of the estimate longer. */
  private static final int OVERRUN_DIVISOR = 10;

  /** Run times from here on stand for no known end. */
  private static final long UNKNOWN_RUN_MICROS = Long.MAX_VALUE / 4;

  /** With so many failed attempts in a row, a machine gets no new tasks. */
  private static final int MAX_CONSECUTIVE_FAILURES = 4;

  /** A worker may miss one heartbeat, and this is for the way of the next. */
  private static final int HEARTBEAT_INTERVALS = 2;

  private static final long HEARTBEAT_MARGIN_MICROS = 500_000;

  private final Settings settings;
  private final Membership membership;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final TransactionCommitter committer;
  private final QuotaAllocator quotaAllocator;
  private final TaskLifecycle lifecycle;
  private final MachineTypes types;
  private final DeadlineOrder deadlineOrder;
  private final DeadlineCapacity deadlineCapacity;
  private final TeamGuarantees guarantees;
  private final Preemption preemption;
  private final SchedulingQueue queue;
  private final ScaleOutDemand scaleOutDemand;
  private final TaskPlacer placer;
  private final TaskClaimer claimer;
  private final CapacityReserver reserver;
  private long completedRounds;
  private long nextRoundMicros;
  private long idleUntilMicros;
  private long nowMicros;
  private long wallMicros;

  /**
   * A scheduler that has decided nothing yet.
   *
   * @param types looks up the machine types that the cloud offers
   * @param offeredZones the zones in which machines can be launched
   */
  public Scheduler(
      Settings settings,
      Policy policy,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      WorkerRegistry workers,
      TransactionCommitter committer,
      QuotaAllocator quotaAllocator,
      TaskLifecycle lifecycle,
      MachineTypes types,
      Supplier<List<String>> offeredZones) {
    this.settings = settings;
    this.membership = membership;
    this.jobs = jobs;
    this.workers = workers;
    this.committer = committer;
    this.quotaAllocator = quotaAllocator;
    this.lifecycle = lifecycle;
    this.types = types;
    deadlineCapacity = new DeadlineCapacity(jobs, workers, types);
    deadlineOrder = new DeadlineOrder(settings, policy, jobs, slices, lifecycle.estimates());
    guarantees = new TeamGuarantees(settings, jobs, slices);
    preemption = new Preemption(policy, jobs, guarantees, deadlineOrder::priority);
    queue =
        new SchedulingQueue(settings, policy, membership, jobs, slices, guarantees, deadlineOrder);
    scaleOutDemand =
        new ScaleOutDemand(policy, slices, quotaAllocator, queue, deadlineOrder, offeredZones);
    NodeScorer scorer = new NodeScorer(settings);
    NodeSelector selector = new NodeSelector(scorer);
    TaskStarter starter = new TaskStarter(jobs, slices, committer, guarantees);
    GangReservations reservations = new GangReservations(membership, slices);
    GangPlacer gangPlacer = new GangPlacer(slices, selector, starter, reservations);
    placer = new TaskPlacer(membership, slices, committer, selector, starter, gangPlacer);
    claimer = new TaskClaimer(slices, committer, starter, placer, reservations);
    reserver =
        new CapacityReserver(
            policy,
            membership,
            slices,
            workers,
            committer,
            lifecycle,
            preemption,
            guarantees,
            scorer,
            reservations);
  }

  /** Runs a round of cycles if it is due and something has changed, or nothing for long. */
  public void tick(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    if (now < nextRoundMicros || (now < idleUntilMicros && !lifecycle.takeSchedulingNeeded())) {
      return;
    }
    runRound();
  }

  /** Runs a round of cycles if something has changed and the last round isn't too recent. */
  public void runIfNeeded() {
    if (nowMicros >= nextRoundMicros && lifecycle.takeSchedulingNeeded()) {
      runRound();
    }
  }

  /** How many rounds have been run. */
  public long completedRounds() {
    return completedRounds;
  }

  private void runRound() {
    completedRounds++;
    double factor = workers.all().size() / (MACHINES_PER_SHORT_ROUND * membership.shardCount());
    double backOff = Math.max(1, Math.min(MAX_BACK_OFF_FACTOR, factor));
    nextRoundMicros = nowMicros + (long) (ROUND_INTERVAL_MICROS * backOff);
    idleUntilMicros = nowMicros + MAX_IDLE_MICROS;
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      if (membership.permits(ControlAction.SCHEDULE, shard)) {
        runCycle(shard);
      }
    }
    committer.flush();
  }

  private void runCycle(int shard) {
    quotaAllocator.beginPass(shard);
    preemption.beginCycle();
    deadlineOrder.refresh(
        nowMicros, wallMicros, spec -> deadlineCapacity.taskSlots(spec, nowMicros, wallMicros));
    guarantees.refresh(membership.shardCount(), nowMicros);
    SchedulingCycle cycle =
        new SchedulingCycle(
            shard,
            nowMicros,
            wallMicros,
            candidates(shard),
            new RemainingQuota(quotaAllocator, shard));
    for (PendingSlice pending : queue.forCycle(shard, nowMicros, wallMicros)) {
      int unplaced =
          pending.remote() ? claimer.claim(pending, cycle) : placer.place(pending, cycle);
      if (unplaced > 0) {
        reserver.reserve(pending, unplaced, cycle);
      }
    }
  }

  private List<CandidateMachine> candidates(int shard) {
    List<CandidateMachine> machines = new ArrayList<>();
    for (Worker worker : workers.inShard(shard)) {
      if (isSchedulable(worker)) {
        machines.add(CandidateMachine.of(worker, types.get(worker.type())));
      }
    }
    return machines;
  }

  /** Whether new tasks may start on a worker. */
  public boolean isSchedulable(Worker worker) {
    return worker.heartbeat() != null
        && worker.registered()
        && !worker.terminating()
        && !worker.releasing()
        && worker.reclaimAtMicros() == 0
        && nowMicros >= worker.quarantinedUntilMicros()
        && worker.consecutiveFailures() < MAX_CONSECUTIVE_FAILURES
        && !worker.unreachable()
        && hasRecentHeartbeat(worker)
        && types.get(worker.type()) != null;
  }

  private boolean hasRecentHeartbeat(Worker worker) {
    long intervals = HEARTBEAT_INTERVALS * settings.workers().heartbeatMicros();
    return nowMicros - worker.heartbeatMicros() < intervals + HEARTBEAT_MARGIN_MICROS;
  }

  /** The pending tasks of all shards, in the order in which they would get machines. */
  public List<PendingDemand> pendingDemand() {
    return scaleOutDemand.compute(nowMicros, wallMicros);
  }

  /** What is known about the run times of jobs. */
  public RuntimeEstimates estimates() {
    return lifecycle.estimates();
  }

  /** By when a job has to end for its pipeline to be in time, by the time of day. */
  public long latestEndMicros(Job job) {
    return deadlineOrder.latestEndMicros(job);
  }

  /** When an attempt is likely to end; {@link Long#MAX_VALUE} / 4 or more if that isn't known. */
  public long expectedEndMicros(Attempt attempt) {
    Job job = jobs.active(attempt.slice().job());
    if (job == null || attempt.killRequested()) {
      return nowMicros + TERMINATION_MICROS;
    }
    long run = estimates().runMicros(job.spec());
    if (run >= UNKNOWN_RUN_MICROS) {
      return run;
    }
    long start =
        attempt.runningSinceMicros() != 0
            ? attempt.runningSinceMicros()
            : attempt.decidedMicros() + START_MICROS;
    return Math.max(nowMicros + run / OVERRUN_DIVISOR, start + run);
  }

  /** The priority that protects a running task, which may be inherited; idle if its job is over. */
  public JobSpec.Priority priority(Attempt attempt) {
    Job job = jobs.active(attempt.slice().job());
    return job == null ? JobSpec.Priority.IDLE : deadlineOrder.priority(job);
  }

  /** How many replicas of active services are running on a machine or about to start there. */
  public int replicas(Worker worker) {
    int count = 0;
    for (Attempt attempt : worker.attempts().values()) {
      Job job = attempt.closed() ? null : jobs.active(attempt.slice().job());
      count += job != null && job.spec().shape() == JobSpec.Shape.SERVICE ? 1 : 0;
    }
    return count;
  }

  /** The active services by the time of their submission. */
  public List<Job> services() {
    return jobs.active().stream()
        .filter(job -> job.spec().shape() == JobSpec.Shape.SERVICE)
        .sorted(Comparator.comparingLong(Job::submittedMicros))
        .toList();
  }
}
