package gladeknot.lifecycle;

import gladeknot.commit.TransactionCommitter;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.tasks.Slice;
import gladeknot.tracing.TaskTracer;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.TaskPhase;
import gladeknot.workers.TaskSize;
import gladeknot.workers.Worker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Updates single attempts after observed phases, kills, reported ends and losses. An attempt that
 * has ended stays in its slice until the end is committed.
 */
final class AttemptTracker {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptTracker.class);

  /** Number of refusals by one machine after which its type is taken to be too small. */
  private static final int MAX_REFUSALS = 3;

  /** Quarantine of a worker that has refused a start, in microseconds. */
  private static final long REFUSED_START_QUARANTINE_MICROS = 2_000_000;

  /**
   * Backoff of a slice after a worker did not know its task, in microseconds. The job may not have
   * been submitted to the worker yet.
   */
  private static final long UNKNOWN_TASK_BACKOFF_MICROS = 3_000_000;

  /**
   * Base of a slice's backoff after a failure, in microseconds. It doubles with each consecutive
   * failure, including the first.
   */
  private static final long SLICE_BACKOFF_MICROS = 500_000;

  private static final int MAX_SLICE_DOUBLINGS = 7;
  private static final long MAX_SLICE_BACKOFF_MICROS = 60_000_000;

  private final JobFailures jobFailures = new JobFailures();
  private final Membership membership;
  private final JobRegistry jobs;
  private final TransactionCommitter committer;
  private final KillDispatcher killDispatcher;
  private final ImageCacheSizes imageCacheSizes;
  private final RefusedStartListener refusedStarts;
  private final TaskTracer tracer;
  private final RuntimeEstimates estimates;
  private final SchedulingRequests scheduling;
  private long nowMicros;

  AttemptTracker(
      Membership membership,
      JobRegistry jobs,
      TransactionCommitter committer,
      KillDispatcher killDispatcher,
      ImageCacheSizes imageCacheSizes,
      RefusedStartListener refusedStarts,
      TaskTracer tracer,
      RuntimeEstimates estimates,
      SchedulingRequests scheduling) {
    this.membership = membership;
    this.jobs = jobs;
    this.committer = committer;
    this.killDispatcher = killDispatcher;
    this.imageCacheSizes = imageCacheSizes;
    this.refusedStarts = refusedStarts;
    this.tracer = tracer;
    this.estimates = estimates;
    this.scheduling = scheduling;
  }

  void setTime(long currentMicros) {
    nowMicros = currentMicros;
  }

  long nowMicros() {
    return nowMicros;
  }

  /** Kills an attempt, both by direct commands and with the answer to each heartbeat. */
  void kill(Attempt attempt, double graceSeconds) {
    if (attempt.requestKill(graceSeconds, nowMicros)) {
      tracer.killed(attempt.traceId());
      LOG.info(
          "attempt kill requested attempt={}#{} host={} graceS={} term={}",
          attempt.name(),
          attempt.number(),
          attempt.host(),
          graceSeconds,
          membership.term(attempt.slice().shard()));
    }
    killDispatcher.add(attempt);
  }

  /** Kills an attempt at once because its job is completed or cancelled. */
  void killForFinishedJob(Attempt attempt) {
    attempt.markJobFinished();
    kill(attempt, 0);
  }

  /** Records that the answer to a heartbeat carries an attempt's run command. */
  void recordRunSent(Worker worker, Attempt attempt, Heartbeat heartbeat) {
    attempt.markRunSent(heartbeat.incarnation(), heartbeat.sequence());
    worker.recentRuns().onSent(attempt.name(), attempt.number(), nowMicros);
    tracer.runSent(attempt.traceId());
  }

  /** Handles an attempt that a heartbeat lists as not exited. */
  void onObserved(Worker worker, Attempt attempt, Heartbeat.TaskStatus status) {
    Attempt.ObservedPhase previous = attempt.observedPhase();
    if (previous == Attempt.ObservedPhase.NOT_OBSERVED && attempt.runSentIncarnation() != 0) {
      worker.markReachable();
    }
    Attempt.ObservedPhase phase = observedPhase(status.phase());
    attempt.observe(phase, nowMicros);
    if (phase != previous) {
      tracer.phaseObserved(attempt.traceId(), status.phaseText());
    }
    Job job = jobs.active(attempt.slice().job());
    if (phase != Attempt.ObservedPhase.FETCHING && job != null) {
      JobSpec spec = job.spec();
      worker.cacheImage(spec.image(), spec.imageGb(), imageCacheSizes.cacheGb(worker.type()));
    }
  }

  private static Attempt.ObservedPhase observedPhase(TaskPhase phase) {
    return switch (phase) {
      case FETCHING -> Attempt.ObservedPhase.FETCHING;
      case WAITING -> Attempt.ObservedPhase.WAITING;
      case SAVING -> Attempt.ObservedPhase.SAVING;
      case RUNNING, ENDED -> Attempt.ObservedPhase.RUNNING;
    };
  }

  /** Handles a job that is finished. */
  void onJobFinished(String job) {
    jobFailures.onFinished(job);
  }

  /** Handles an attempt that a heartbeat lists as exited. */
  void onEnded(Worker worker, Attempt attempt, Heartbeat.TaskStatus status) {
    LOG.info(
        "attempt ended attempt={}#{} host={} cause={}",
        attempt.name(),
        attempt.number(),
        attempt.host(),
        status.causeText());
    tracer.ended(attempt.traceId(), status.causeText());
    Slice slice = attempt.slice();
    switch (status.cause()) {
      case SUCCEEDED -> onSucceeded(worker, attempt);
      case FAILED -> onFailed(worker, slice);
      case INSUFFICIENT_RESOURCES -> onRefused(worker, attempt);
      case TASK_ALREADY_PRESENT ->
          worker.quarantineUntil(nowMicros + REFUSED_START_QUARANTINE_MICROS);
      case UNKNOWN_TASK -> slice.backOffUntil(nowMicros + UNKNOWN_TASK_BACKOFF_MICROS);
      case OTHER -> {}
    }
    close(attempt);
  }

  /**
   * Handles a task that a worker has refused for lack of resources. The worker may still hold what
   * another task used until now, so the task is tried there again later. If the worker has no other
   * task, or refuses the task again and again, other machines of its type will refuse it too.
   */
  private void onRefused(Worker worker, Attempt attempt) {
    worker.quarantineUntil(nowMicros + REFUSED_START_QUARANTINE_MICROS);
    Slice slice = attempt.slice();
    TaskSize size = new TaskSize(slice.cpus(), slice.gpus(), slice.memory());
    int refusals = worker.refusedSizes().record(size, nowMicros);
    if (refusals >= MAX_REFUSALS || !hasOtherTask(worker, attempt)) {
      LOG.warn("machine type refuses task type={} job={}", worker.type(), slice.job());
      refusedStarts.onRefused(worker.type(), size, nowMicros);
    }
  }

  /** Returns whether a worker may have another task than a refused one. */
  private static boolean hasOtherTask(Worker worker, Attempt refused) {
    boolean isListed =
        worker.heartbeat() != null
            && worker.heartbeat().tasks().stream().anyMatch(task -> !task.ended());
    return isListed
        || worker.attempts().values().stream()
            .anyMatch(attempt -> attempt != refused && !attempt.closed());
  }

  private void onSucceeded(Worker worker, Attempt attempt) {
    Slice slice = attempt.slice();
    attempt.markSucceeded();
    Job job = jobs.active(slice.job());
    slice.markDone(attempt.task(), job);
    if (job != null && attempt.runningSinceMicros() != 0 && !attempt.recovered()) {
      estimates.recordRun(job.spec(), nowMicros - attempt.runningSinceMicros());
    }
    slice.resetFailures();
    jobFailures.onSucceeded(slice.job(), worker);
  }

  private void onFailed(Worker worker, Slice slice) {
    int doublings = Math.min(MAX_SLICE_DOUBLINGS, slice.countFailure());
    slice.backOffUntil(
        nowMicros + Math.min(MAX_SLICE_BACKOFF_MICROS, SLICE_BACKOFF_MICROS << doublings));
    jobFailures.onFailed(slice.job(), worker, nowMicros);
  }

  /** Handles an attempt that is provably no longer on its worker and whose end was not reported. */
  void onLost(Attempt attempt, LossReason reason) {
    LOG.info(
        "attempt lost attempt={}#{} host={} reason={}",
        attempt.name(),
        attempt.number(),
        attempt.host(),
        reason);
    tracer.ended(attempt.traceId(), reason.traceText());
    close(attempt);
  }

  private void close(Attempt attempt) {
    attempt.close();
    Slice slice = attempt.slice();
    slice.invalidateCounts();
    Job job = jobs.active(slice.job());
    if (job != null && job.spec().shape() == JobSpec.Shape.GANG && !attempt.succeeded()) {
      killGang(slice);
    }
    committer.markDirty(slice);
    scheduling.request();
  }

  /**
   * Kills the remaining tasks of a gang that has lost a task: the gang makes no progress and must
   * start again.
   */
  private void killGang(Slice slice) {
    for (Attempt member : slice.attemptsByTask().values()) {
      if (!member.closed() && !member.killRequested()) {
        kill(member, 0);
      }
    }
  }
}
