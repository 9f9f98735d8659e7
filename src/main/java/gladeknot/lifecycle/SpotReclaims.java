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
 * Decides which tasks are stopped on spot machines that the cloud has announced to take back.
 *
 * <p>A task that is still running when its machine is taken away can start elsewhere only once its
 * lease has surely expired; one that was stopped, and whose end was reported, may start at once.
 * Tasks that can't complete in time and save no checkpoints are stopped as soon as that is clear,
 * all others at the last moment.
 */
final class SpotReclaims {
  /** What a stop takes: sending the command, ending the task, reporting the end. */
  private static final long STOP_MICROS = 2_000_000;

  /** A task that would take so many times as long as its machine has left won't end in time. */
  private static final double SURELY_LATE_FACTOR = 1.25;

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

  /** Stops what is due on the machines of an owned shard. */
  void drain(int shard) {
    for (Worker worker : workers.inShard(shard)) {
      if (worker.reclaimAtMicros() != 0) {
        drain(worker, worker.reclaimAtMicros() - attempts.nowMicros());
      }
    }
  }

  private void drain(Worker worker, long leftMicros) {
    for (Attempt attempt : List.copyOf(worker.attempts().values())) {
      Job job = jobs.active(attempt.slice().job());
      if (job != null && stoppable(attempt) && due(attempt, job.spec(), leftMicros)) {
        stop(attempt, job.spec());
      }
    }
  }

  private boolean stoppable(Attempt attempt) {
    return live(attempt) && membership.ownedShards().contains(attempt.slice().shard());
  }

  private static boolean live(Attempt attempt) {
    return attempt.committed() && !attempt.closed() && !attempt.killRequested();
  }

  private boolean due(Attempt attempt, JobSpec spec, long leftMicros) {
    if (leftMicros <= STOP_MICROS + spec.checkpointMicros()) {
      return true;
    }
    if (spec.shape() != JobSpec.Shape.ARRAY || spec.checkpointIntervalMicros() > 0) {
      return false;
    }
    long since = attempt.runningSinceMicros();
    long ranMicros = since == 0 ? 0 : attempts.nowMicros() - since;
    return estimates.runMicros(spec) - ranMicros > leftMicros * SURELY_LATE_FACTOR;
  }

  /** A gang is stopped as a whole: its progress is saved only if all its tasks are stopped. */
  private void stop(Attempt attempt, JobSpec spec) {
    double graceSeconds = TerminationGrace.seconds(spec);
    if (spec.shape() != JobSpec.Shape.GANG) {
      attempts.kill(attempt, graceSeconds);
      return;
    }
    for (Attempt member : List.copyOf(attempt.slice().attemptsByTask().values())) {
      if (live(member)) {
        attempts.kill(member, graceSeconds);
      }
    }
  }
}
