package gladeknot.lifecycle;

import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec.Shape;
import gladeknot.jobs.TaskCounts;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tracing.TaskTracer;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerCommand;
import gladeknot.workers.WorkerRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Tracks attempts from the commit of their start to the commit of their end, and jobs to their
 * final state. Other packages use the lifecycle only through this class.
 */
public final class TaskLifecycle {
  private static final long CHECK_INTERVAL_MICROS = 250_000;

  /** Number of heartbeat intervals without a heartbeat after which a worker has timed out. */
  private static final int HEARTBEAT_TIMEOUT_INTERVALS = 2;

  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final WorkerRegistry workers;
  private final TransactionCommitter committer;
  private final KillDispatcher killDispatcher;
  private final SchedulingRequests scheduling = new SchedulingRequests();
  private final RuntimeEstimates estimates = new RuntimeEstimates();
  private final AttemptTracker attempts;
  private final HeartbeatReconciler reconciler;
  private final FinishedJobs finishedJobs;
  private final LeaseExpiry leaseExpiry;
  private final SpotReclaims spotReclaims;
  private final JobCompletion completion;
  private final SliceMonitor sliceMonitor;
  private final long heartbeatTimeoutMicros;
  private long nextCheckMicros;

  /** Creates a lifecycle without attempts. */
  public TaskLifecycle(
      Settings settings,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      WorkerRegistry workers,
      TransactionCommitter committer,
      Outbox outbox,
      ImageCacheSizes imageCacheSizes,
      RefusedStartListener refusedStarts,
      TaskTracer tracer) {
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.workers = workers;
    this.committer = committer;
    heartbeatTimeoutMicros = HEARTBEAT_TIMEOUT_INTERVALS * settings.workers().heartbeatMicros();
    killDispatcher = new KillDispatcher(membership, workers, outbox);
    attempts =
        new AttemptTracker(
            membership,
            jobs,
            committer,
            killDispatcher,
            imageCacheSizes,
            refusedStarts,
            tracer,
            estimates,
            scheduling);
    reconciler = new HeartbeatReconciler(settings, membership, jobs, attempts);
    finishedJobs = new FinishedJobs(membership, jobs, slices, committer, attempts);
    leaseExpiry = new LeaseExpiry(membership, slices, workers, attempts);
    spotReclaims = new SpotReclaims(membership, jobs, workers, estimates, attempts);
    completion = new JobCompletion(membership, jobs, slices, committer);
    sliceMonitor = new SliceMonitor(membership, jobs, slices);
  }

  /** Sets the limit that may withhold starts committed by a former owner of a shard. */
  public void useRestartLimit(RestartLimit limit) {
    reconciler.setRestartLimit(limit);
  }

  /** Returns whether a worker has an attempt with an uncommitted end in a slice that matches. */
  public boolean hasUncommittedEnd(Worker worker, Predicate<Slice> condition) {
    for (Attempt attempt : worker.attempts().values()) {
      if (attempt.closed() && condition.test(attempt.slice())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the number of times that the slices of a job were found to overlap or to have several
   * records.
   */
  public long sliceViolations() {
    return sliceMonitor.violations();
  }

  /** Requests a scheduling round after a change that may allow tasks to be placed. */
  public void requestScheduling() {
    scheduling.request();
  }

  /** Returns whether a scheduling round is requested. */
  public boolean isSchedulingNeeded() {
    return scheduling.requested();
  }

  /** Returns whether a scheduling round is requested, and clears the request. */
  public boolean takeSchedulingNeeded() {
    return scheduling.take();
  }

  /** Returns the run time estimates learned from completed tasks. */
  public RuntimeEstimates estimates() {
    return estimates;
  }

  /**
   * Repeats kills, checks slices, leases and spot machines, and completes jobs, each when due.
   *
   * @param nowMicros the steady clock, in microseconds
   * @param wallMicros the time of day, in microseconds
   */
  public void tick(long nowMicros, long wallMicros) {
    attempts.setTime(nowMicros);
    killDispatcher.tick(nowMicros);
    sliceMonitor.tick(nowMicros);
    if (nowMicros < nextCheckMicros) {
      return;
    }
    nextCheckMicros = nowMicros + CHECK_INTERVAL_MICROS;
    for (int shard : membership.ownedShards()) {
      if (membership.permits(ControlAction.COMMIT, shard)) {
        leaseExpiry.check(shard);
        spotReclaims.drain(shard);
      }
    }
    completion.check(wallMicros);
  }

  /**
   * Handles a change of a job's record in the cache. The tasks of a finished job are stopped.
   *
   * @param before the job before; null if it is new
   * @param now the job now; null if its record was deleted
   */
  public void onJobChange(Job before, Job now) {
    String job = now != null ? now.id() : before.id();
    slices.jobChanged(job, now);
    scheduling.request();
    if (now == null || !now.active()) {
      completion.onFinished(job);
      attempts.onJobFinished(job);
      finishedJobs.stop(job);
    }
  }

  /** Handles a change of a segment in the cache. */
  public void onSegmentChange(String key) {
    scheduling.request();
    committer.refreshSegment(key);
  }

  /**
   * Handles jobs whose cancellation another controller has committed. The cache may not show the
   * cancellation for a while, so the jobs' tasks in owned shards are stopped at once.
   */
  public void onCancelledElsewhere(List<String> ids) {
    for (String job : ids) {
      finishedJobs.stopCancelledElsewhere(job);
    }
  }

  /**
   * Returns kill commands for a heartbeat's tasks whose jobs are finished according to the cache.
   */
  public List<WorkerCommand> killsForFinishedJobs(Heartbeat heartbeat) {
    return finishedJobs.kills(heartbeat);
  }

  /**
   * Kills an attempt, both by direct commands and with the answer to each heartbeat. A further call
   * changes the grace period.
   */
  public void kill(Attempt attempt, double graceSeconds) {
    attempts.kill(attempt, graceSeconds);
  }

  /** Returns whether a worker has only running service tasks and is not being reclaimed. */
  public boolean isSteady(Worker worker) {
    if (worker.reclaimAtMicros() != 0) {
      return false;
    }
    for (Attempt attempt : worker.attempts().values()) {
      Job job = jobs.active(attempt.slice().job());
      if (job == null
          || job.spec().shape() != Shape.SERVICE
          || attempt.closed()
          || attempt.killRequested()
          || attempt.observedPhase() != Attempt.ObservedPhase.RUNNING) {
        return false;
      }
    }
    return true;
  }

  /** Reconciles a heartbeat of an owned shard's worker; returns the commands for the worker. */
  public List<WorkerCommand> reconcile(Worker worker, Heartbeat heartbeat) {
    return reconciler.reconcile(worker, heartbeat);
  }

  /**
   * Handles the restart of a worker. Attempts whose run command was sent are lost if the worker's
   * status does not list them, except those whose run command may still arrive.
   */
  public void onWorkerRestart(Worker worker, Heartbeat status) {
    Set<String> listed = new HashSet<>();
    status.tasks().forEach(task -> listed.add(task.name()));
    for (Attempt attempt : List.copyOf(worker.attempts().values())) {
      if (isLiveInOwnedShard(attempt)
          && attempt.runSent()
          && !listed.contains(attempt.name())
          && !mayReceiveRun(worker, attempt)) {
        attempts.onLost(attempt, LossReason.WORKER_RESTARTED);
      }
    }
  }

  private boolean mayReceiveRun(Worker worker, Attempt attempt) {
    return worker.recentRuns().mayArrive(attempt.name(), attempt.number(), attempts.nowMicros());
  }

  /** Handles the confirmed release of a machine: all attempts on it are lost. */
  public void onWorkerReleased(String host) {
    Worker worker = workers.get(host);
    if (worker == null) {
      return;
    }
    for (Attempt attempt : List.copyOf(worker.attempts().values())) {
      if (isLiveInOwnedShard(attempt)) {
        attempts.onLost(attempt, LossReason.WORKER_RELEASED);
      }
    }
  }

  private boolean isLiveInOwnedShard(Attempt attempt) {
    return attempt.committed()
        && !attempt.closed()
        && membership.ownedShards().contains(attempt.slice().shard());
  }

  /**
   * Returns whether more than half of a shard's workers with a session here have timed out. A
   * worker has a session once one of its heartbeats has been admitted since the shard was acquired.
   * Workers without a session are not counted; if no worker has a session, the result is false.
   */
  public boolean mostWorkersTimedOut(int shard) {
    int sessions = 0;
    int timedOut = 0;
    for (Worker worker : workers.inShard(shard)) {
      if (worker.heartbeat() != null) {
        sessions++;
        if (attempts.nowMicros() - worker.heartbeatMicros() > heartbeatTimeoutMicros) {
          timedOut++;
        }
      }
    }
    return timedOut * 2 > sessions;
  }

  /** Returns a job's completed and running task counts, for display. */
  public TaskCounts taskCounts(Job job) {
    return completion.taskCounts(job);
  }
}
