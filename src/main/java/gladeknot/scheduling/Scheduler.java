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
 * Runs scheduling cycles for the shards that this controller owns. It also provides the fleet with
 * information on jobs and machines. It runs on the controller's single thread.
 */
public final class Scheduler {
  /** Minimum interval between two rounds, in microseconds. It applies to small fleets. */
  private static final long MIN_ROUND_INTERVAL_MICROS = 60_000;

  /**
   * Number of machines in each shard up to which the minimum interval applies. For more machines
   * the interval is longer in proportion, because a cycle visits all of them. The delay matters
   * little: the decisions of a cycle wait for a commit, which takes longer.
   */
  private static final double MACHINES_AT_MIN_INTERVAL = 25;

  /** Maximum ratio of the interval between two rounds to the minimum interval. */
  private static final double MAX_BACKOFF_FACTOR = 8;

  /**
   * Maximum interval between two rounds if no event requires one, in microseconds. A round without
   * an event is necessary because workers also become schedulable by the passing of time.
   */
  private static final long MAX_IDLE_MICROS = 400_000;

  /**
   * Expected time from the decision to start a task until it runs, in microseconds. It is used
   * until the start has been reported.
   */
  private static final long START_DELAY_MICROS = 4_000_000;

  /**
   * Expected time until a task exits that is being terminated or whose job is finished, in
   * microseconds.
   */
  private static final long TERMINATION_DELAY_MICROS = 1_000_000;

  /**
   * Divisor of the estimated run time that gives the minimum remaining run time of a task. The
   * minimum applies to tasks that exceed their estimate.
   */
  private static final int MIN_REMAINING_RUN_DIVISOR = 10;

  /** Estimated run time, in microseconds, at or above which the end of a task counts as unknown. */
  private static final long UNKNOWN_RUN_MICROS = Long.MAX_VALUE / 4;

  /** Maximum age of a schedulable worker's heartbeat, in intervals: a worker may miss one. */
  private static final int MAX_HEARTBEAT_AGE_INTERVALS = 2;

  /** Margin for the transmission of a heartbeat, in microseconds. */
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
   * Creates a scheduler.
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

  /**
   * Runs a round of cycles if the interval between rounds has passed and either an event requires a
   * round or the maximum idle time has passed.
   */
  public void tick(long currentMicros, long currentWallMicros) {
    nowMicros = currentMicros;
    wallMicros = currentWallMicros;
    if (currentMicros < nextRoundMicros
        || (currentMicros < idleUntilMicros && !lifecycle.takeSchedulingNeeded())) {
      return;
    }
    runRound();
  }

  /** Runs a round of cycles if an event requires it and the interval between rounds has passed. */
  public void runIfNeeded() {
    if (nowMicros >= nextRoundMicros && lifecycle.takeSchedulingNeeded()) {
      runRound();
    }
  }

  /** Returns the number of completed rounds. */
  public long completedRounds() {
    return completedRounds;
  }

  private void runRound() {
    completedRounds++;
    double machinesFactor =
        workers.all().size() / (MACHINES_AT_MIN_INTERVAL * membership.shardCount());
    double backoffFactor = Math.max(1, Math.min(MAX_BACKOFF_FACTOR, machinesFactor));
    nextRoundMicros = nowMicros + (long) (MIN_ROUND_INTERVAL_MICROS * backoffFactor);
    idleUntilMicros = nowMicros + MAX_IDLE_MICROS;
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      if (membership.permits(ControlAction.SCHEDULE, shard)) {
        runCycle(shard);
      }
    }
    committer.flush();
  }

  private void runCycle(int shard) {
    quotaAllocator.beginCycle(shard);
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
        machines.add(CandidateMachine.of(worker, types.get(worker.type()), nowMicros));
      }
    }
    return machines;
  }

  /** Returns whether new tasks may start on a worker. */
  public boolean isSchedulable(Worker worker) {
    return worker.heartbeat() != null
        && worker.registered()
        && !worker.terminating()
        && !worker.releasing()
        && worker.reclaimAtMicros() == 0
        && nowMicros >= worker.quarantinedUntilMicros()
        && worker.mayTryTask()
        && !worker.unreachable()
        && hasRecentHeartbeat(worker)
        && types.get(worker.type()) != null;
  }

  private boolean hasRecentHeartbeat(Worker worker) {
    long intervalsMicros = MAX_HEARTBEAT_AGE_INTERVALS * settings.workers().heartbeatMicros();
    return nowMicros - worker.heartbeatMicros() < intervalsMicros + HEARTBEAT_MARGIN_MICROS;
  }

  /** Returns the pending tasks of all shards, in the order in which they would get machines. */
  public List<PendingDemand> pendingDemand() {
    return scaleOutDemand.compute(nowMicros, wallMicros);
  }

  /** Returns the estimates of the run times of jobs. */
  public RuntimeEstimates estimates() {
    return lifecycle.estimates();
  }

  /**
   * Returns the time of day by which a job has to end for its own deadline and those of the jobs
   * that depend on it.
   */
  public long latestEndMicros(Job job) {
    return deadlineOrder.latestEndMicros(job);
  }

  /**
   * Returns the monotonic time at which an attempt is expected to end; {@link Long#MAX_VALUE} / 4
   * or more if it is unknown.
   */
  public long expectedEndMicros(Attempt attempt) {
    Job job = jobs.active(attempt.slice().job());
    if (job == null || attempt.killRequested()) {
      return nowMicros + TERMINATION_DELAY_MICROS;
    }
    long estimatedRunMicros = estimates().runMicros(job.spec());
    if (estimatedRunMicros >= UNKNOWN_RUN_MICROS) {
      return estimatedRunMicros;
    }
    long startMicros =
        attempt.runningSinceMicros() != 0
            ? attempt.runningSinceMicros()
            : attempt.decidedMicros() + START_DELAY_MICROS;
    return Math.max(
        nowMicros + estimatedRunMicros / MIN_REMAINING_RUN_DIVISOR,
        startMicros + estimatedRunMicros);
  }

  /**
   * Returns the priority that protects a running task from preemption, which may be inherited; idle
   * if the task's job is finished.
   */
  public JobSpec.Priority priority(Attempt attempt) {
    Job job = jobs.active(attempt.slice().job());
    return job == null ? JobSpec.Priority.IDLE : deadlineOrder.priority(job);
  }

  /** Returns the number of replicas of active services that run or are starting on a machine. */
  public int replicas(Worker worker) {
    int count = 0;
    for (Attempt attempt : worker.attempts().values()) {
      Job job = attempt.closed() ? null : jobs.active(attempt.slice().job());
      count += job != null && job.spec().shape() == JobSpec.Shape.SERVICE ? 1 : 0;
    }
    return count;
  }

  /** Returns the active services, sorted by the time of their submission. */
  public List<Job> services() {
    return jobs.active().stream()
        .filter(job -> job.spec().shape() == JobSpec.Shape.SERVICE)
        .sorted(Comparator.comparingLong(Job::submittedMicros))
        .toList();
  }
}
