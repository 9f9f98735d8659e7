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
 * Follows attempts from the commit of their start to the commit of their end, and jobs to their
 * final state. Other packages use the lifecycle through this class alone.
 */
public final class TaskLifecycle {
  private static final long CHECK_INTERVAL_MICROS = 250_000;

  /** A worker has timed out after so many heartbeat intervals without a heartbeat. */
  private static final int TIMEOUT_INTERVALS = 2;

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

  /** A lifecycle that knows of no attempts yet. */
  public TaskLifecycle(
      Settings settings,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      WorkerRegistry workers,
      TransactionCommitter committer,
      Outbox outbox,
      ImageCacheSizes imageCacheSizes,
      TaskTracer tracer) {
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.workers = workers;
    this.committer = committer;
    heartbeatTimeoutMicros = TIMEOUT_INTERVALS * settings.workers().heartbeatMicros();
    killDispatcher = new KillDispatcher(membership, workers, outbox);
    attempts =
        new AttemptTracker(
            membership,
            jobs,
            committer,
            killDispatcher,
            imageCacheSizes,
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

  /** Sets what may withhold starts that a former owner of a shard committed. */
  public void useRestartLimit(RestartLimit limit) {
    reconciler.setRestartLimit(limit);
  }

  /** Whether an end on a worker waits to be committed, of a slice that a condition holds for. */
  public boolean hasUncommittedEnd(Worker worker, Predicate<Slice> condition) {
    for (Attempt attempt : worker.attempts().values()) {
      if (attempt.closed() && condition.test(attempt.slice())) {
        return true;
      }
    }
    return false;
  }

  /** How often a job was found whose tasks belong to two slices, or a slice to two records. */
  public long sliceViolations() {
    return sliceMonitor.violations();
  }

  /** Requests a scheduling round, since something has changed that may let tasks be placed. */
  public void requestScheduling() {
    scheduling.request();
  }

  /** Whether a scheduling round is requested. */
  public boolean isSchedulingNeeded() {
    return scheduling.requested();
  }

  /** Returns whether a scheduling round is requested, and takes the request back. */
  public boolean takeSchedulingNeeded() {
    return scheduling.take();
  }

  /** How long tasks run, as learned from those that have completed. */
  public RuntimeEstimates estimates() {
    return estimates;
  }

  /**
   * Repeats kills, and finds expired leases and completed jobs, each when it is time.
   *
   * @param nowMicros the steady clock
   * @param wallMicros the time of day
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
   * A job's record has changed in the cached state; the tasks of a finished job are stopped.
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
      finishedJobs.stop(job);
    }
  }

  /** A segment of a shard's record has changed in the cached state. */
  public void onSegmentChange(String key) {
    scheduling.request();
    committer.refreshSegment(key);
  }

  /**
   * Another controller has committed the cancellation of jobs, which the cached state may not show
   * for a while: their tasks in owned shards are stopped at once.
   */
  public void onCancelledElsewhere(List<String> ids) {
    for (String job : ids) {
      finishedJobs.stopCancelledElsewhere(job);
    }
  }

  /** Kills for what a heartbeat lists of jobs that are finished by the cached state. */
  public List<WorkerCommand> killsForFinishedJobs(Heartbeat heartbeat) {
    return finishedJobs.kills(heartbeat);
  }

  /**
   * Kills an attempt, by direct commands and again with the answer to each heartbeat. A further
   * call changes the grace period.
   */
  public void kill(Attempt attempt, double graceSeconds) {
    attempts.kill(attempt, graceSeconds);
  }

  /** Whether a worker has nothing on it but running tasks of services, and is not reclaimed. */
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

  /** Follows a heartbeat of a worker of an owned shard; returns the commands for the worker. */
  public List<WorkerCommand> reconcile(Worker worker, Heartbeat heartbeat) {
    return reconciler.reconcile(worker, heartbeat);
  }

  /** A worker has restarted: what its status does not list is lost. */
  public void onWorkerRestart(Worker worker, Heartbeat status) {
    Set<String> listed = new HashSet<>();
    status.tasks().forEach(task -> listed.add(task.name()));
    for (Attempt attempt : List.copyOf(worker.attempts().values())) {
      if (committedHere(attempt) && attempt.runSent() && !listed.contains(attempt.name())) {
        attempts.lost(attempt, LossReason.WORKER_RESTARTED);
      }
    }
  }

  /** The cloud has confirmed the release of a machine: nothing is on it any more. */
  public void onWorkerReleased(String host) {
    Worker worker = workers.get(host);
    if (worker == null) {
      return;
    }
    for (Attempt attempt : List.copyOf(worker.attempts().values())) {
      if (committedHere(attempt)) {
        attempts.lost(attempt, LossReason.WORKER_RELEASED);
      }
    }
  }

  private boolean committedHere(Attempt attempt) {
    return attempt.committed()
        && !attempt.closed()
        && membership.ownedShards().contains(attempt.slice().shard());
  }

  /**
   * Whether more than half of a shard's workers with a session here have timed out. A worker has a
   * session once a heartbeat of its has been admitted since the shard was acquired; workers that
   * have sent none count on neither side, and without any session the answer is false.
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

  /** How far a job has come, for display. */
  public TaskCounts taskCounts(Job job) {
    return completion.taskCounts(job);
  }
}
