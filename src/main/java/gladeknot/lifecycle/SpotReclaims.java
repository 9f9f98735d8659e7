package gladeknot.lifecycle;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.tasks.TerminationGrace;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.List;

/**
 * Decides which tasks are stopped on spot machines whose reclaim the cloud has announced.
 *
 * <p>A task that still runs when its machine is reclaimed can start elsewhere only after its lease
 * has provably expired. A task that was stopped, and whose end was reported, may start at once.
 * Tasks of arrays that save no checkpoints are stopped as soon as their estimated run time shows
 * that they won't complete in time. All other tasks are stopped at the last moment.
 */
final class SpotReclaims {
  /**
   * Time to stop a task, in microseconds: sending the command, ending the task, reporting the end.
   */
  private static final long STOP_DURATION_MICROS = 2_000_000;

  /**
   * Ratio of a task's remaining run time to its machine's remaining time above which the task won't
   * complete in time.
   */
  private static final double OVERRUN_FACTOR = 1.25;

  private final Membership membership;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final RuntimeEstimates estimates;
  private final AttemptTracker attempts;

  SpotReclaims(
      Membership membership,
      JobRegistry jobs,
      WorkerRegistry workers,
      RuntimeEstimates estimates,
      AttemptTracker attempts) {
    this.membership = membership;
    this.jobs = jobs;
    this.workers = workers;
    this.estimates = estimates;
    this.attempts = attempts;
  }

  /** Stops the tasks that are due to be stopped on an owned shard's machines. */
  void drain(int shard) {
    for (Worker worker : workers.inShard(shard)) {
      if (worker.reclaimAtMicros() != 0) {
        drain(worker, worker.reclaimAtMicros() - attempts.nowMicros());
      }
    }
  }

  private void drain(Worker worker, long remainingMicros) {
    for (Attempt attempt : List.copyOf(worker.attempts().values())) {
      Job job = jobs.active(attempt.slice().job());
      if (job != null && isStoppable(attempt) && isStopDue(attempt, job.spec(), remainingMicros)) {
        stop(attempt, job.spec());
      }
    }
  }

  private boolean isStoppable(Attempt attempt) {
    return isLive(attempt) && membership.ownedShards().contains(attempt.slice().shard());
  }

  private static boolean isLive(Attempt attempt) {
    return attempt.committed() && !attempt.closed() && !attempt.killRequested();
  }

  private boolean isStopDue(Attempt attempt, JobSpec spec, long remainingMicros) {
    if (remainingMicros <= STOP_DURATION_MICROS + spec.checkpointMicros()) {
      return true;
    }
    if (spec.shape() != JobSpec.Shape.ARRAY || spec.checkpointIntervalMicros() > 0) {
      return false;
    }
    long runningSinceMicros = attempt.runningSinceMicros();
    long elapsedMicros = runningSinceMicros == 0 ? 0 : attempts.nowMicros() - runningSinceMicros;
    return estimates.runMicros(spec) - elapsedMicros > remainingMicros * OVERRUN_FACTOR;
  }

  /**
   * Stops an attempt. A gang is stopped as a whole, because its progress is saved only if all its
   * tasks are stopped.
   */
  private void stop(Attempt attempt, JobSpec spec) {
    double graceSeconds = TerminationGrace.seconds(spec);
    if (spec.shape() != JobSpec.Shape.GANG) {
      attempts.kill(attempt, graceSeconds);
      return;
    }
    for (Attempt member : List.copyOf(attempt.slice().attemptsByTask().values())) {
      if (isLive(member)) {
        attempts.kill(member, graceSeconds);
      }
    }
  }
}
