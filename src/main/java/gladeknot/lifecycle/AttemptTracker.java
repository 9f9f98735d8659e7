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
import gladeknot.workers.Worker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What happens to single attempts: a phase that a heartbeat lists, a kill, a reported end, a loss.
 * An attempt that has ended stays in its slice until the end is committed.
 */
final class AttemptTracker {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptTracker.class);

  /** No start on a worker that has refused one. */
  private static final long REFUSED_QUARANTINE_MICROS = 2_000_000;

  /** No start of a task that a worker does not know: the job may not be submitted to it yet. */
  private static final long UNKNOWN_TASK_BACKOFF_MICROS = 3_000_000;

  /** The back-off of a slice doubles with each failure in a row, from the first on. */
  private static final long SLICE_BACKOFF_MICROS = 500_000;

  private static final int MAX_SLICE_DOUBLINGS = 7;
  private static final long MAX_SLICE_BACKOFF_MICROS = 60_000_000;

  /** The quarantine of a worker doubles likewise. */
  private static final long WORKER_QUARANTINE_MICROS = 1_000_000;

  private static final long MAX_WORKER_QUARANTINE_MICROS = 30_000_000;

  private final Membership membership;
  private final JobRegistry jobs;
  private final TransactionCommitter committer;
  private final KillDispatcher killDispatcher;
  private final ImageCacheSizes imageCacheSizes;
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
      TaskTracer tracer,
      RuntimeEstimates estimates,
      SchedulingRequests scheduling) {
    this.membership = membership;
    this.jobs = jobs;
    this.committer = committer;
    this.killDispatcher = killDispatcher;
    this.imageCacheSizes = imageCacheSizes;
    this.tracer = tracer;
    this.estimates = estimates;
    this.scheduling = scheduling;
  }

  void setTime(long now) {
    nowMicros = now;
  }

  long nowMicros() {
    return nowMicros;
  }

  /** Kills an attempt, by direct commands and again with the answer to each heartbeat. */
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

  /** Kills an attempt at once because its job is done or cancelled. */
  void killForFinishedJob(Attempt attempt) {
    attempt.markJobFinished();
    kill(attempt, 0);
  }

  /** The answer to a heartbeat is to carry an attempt's run command. */
  void runSent(Attempt attempt, Heartbeat heartbeat) {
    attempt.markRunSent(heartbeat.incarnation(), heartbeat.sequence());
    tracer.runSent(attempt.traceId());
  }

  /** A heartbeat lists an attempt that has not exited. */
  void observed(Worker worker, Attempt attempt, Heartbeat.TaskStatus status) {
    Attempt.ObservedPhase before = attempt.observedPhase();
    if (before == Attempt.ObservedPhase.NOT_OBSERVED && attempt.runSentIncarnation() != 0) {
      worker.markReachable();
    }
    Attempt.ObservedPhase phase = observedPhase(status.phase());
    attempt.observe(phase, nowMicros);
    if (phase != before) {
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

  /** A heartbeat lists an attempt as exited. */
  void ended(Worker worker, Attempt attempt, Heartbeat.TaskStatus status) {
    LOG.info(
        "attempt ended attempt={}#{} host={} cause={}",
        attempt.name(),
        attempt.number(),
        attempt.host(),
        status.causeText());
    tracer.ended(attempt.traceId(), status.causeText());
    Slice slice = attempt.slice();
    switch (status.cause()) {
      case SUCCEEDED -> succeeded(worker, attempt);
      case FAILED -> failed(worker, slice);
      case INSUFFICIENT_RESOURCES, TASK_ALREADY_PRESENT ->
          worker.quarantineUntil(nowMicros + REFUSED_QUARANTINE_MICROS);
      case UNKNOWN_TASK -> slice.backOffUntil(nowMicros + UNKNOWN_TASK_BACKOFF_MICROS);
      case OTHER -> {}
    }
    close(attempt);
  }

  private void succeeded(Worker worker, Attempt attempt) {
    Slice slice = attempt.slice();
    attempt.markSucceeded();
    Job job = jobs.active(slice.job());
    slice.markDone(attempt.task(), job);
    if (job != null && attempt.runningSinceMicros() != 0 && !attempt.recovered()) {
      estimates.recordRun(job.spec(), nowMicros - attempt.runningSinceMicros());
    }
    slice.resetFailures();
    worker.resetFailures();
  }

  private void failed(Worker worker, Slice slice) {
    int doublings = Math.min(MAX_SLICE_DOUBLINGS, slice.countFailure());
    slice.backOffUntil(
        nowMicros + Math.min(MAX_SLICE_BACKOFF_MICROS, SLICE_BACKOFF_MICROS << doublings));
    int workerFailures = worker.countFailure(slice.job());
    worker.quarantineUntil(
        nowMicros
            + Math.min(MAX_WORKER_QUARANTINE_MICROS, WORKER_QUARANTINE_MICROS << workerFailures));
  }

  /** An attempt is provably no longer on its worker, and its end was not reported. */
  void lost(Attempt attempt, LossReason reason) {
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

  /** A gang that has lost a task makes no progress: all of it has to start again. */
  private void killGang(Slice slice) {
    for (Attempt member : slice.attemptsByTask().values()) {
      if (!member.closed() && !member.killRequested()) {
        kill(member, 0);
      }
    }
  }
}
