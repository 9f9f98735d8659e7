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
 * Decides which tasks are stopped on spot machines that the cloud has given notice of taking back.
 *
 * <p>A task that is still there when its machine goes can start elsewhere only once its lease has
 * surely lapsed; one that has been stopped and reported may at once. Tasks that can't end in time
 * and save nothing are stopped as soon as that is clear, all others at the last moment.
 */
final class SpotReclaims {
  /** What a stop takes: the command's way, the task's end, the report of it. */
  private static final long STOP_MICROS = 2_000_000;

  /** A task that would take so many times as long as its machine has left won't end in time. */
  private static final double SURELY_LATE = 1.25;

  private final Membership membership;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final RuntimeEstimates estimates;

  SpotReclaims(
      Membership membership, JobRegistry jobs, WorkerRegistry workers, RuntimeEstimates estimates) {
    this.membership = membership;
    this.jobs = jobs;
    this.workers = workers;
    this.estimates = estimates;
  }

  /** Stops a task with the time that it needs to save, in seconds. */
  interface Stopper {
    void stop(Attempt attempt, double graceS);
  }

  /** Stops what is due on the machines of a shard that is ours. */
  void drain(int shard, long nowMicros, Stopper stopper) {
    for (Worker worker : workers.inShard(shard)) {
      if (worker.reclaimAtMicros() == 0) {
        continue;
      }
      long left = worker.reclaimAtMicros() - nowMicros;
      for (Attempt attempt : List.copyOf(worker.attempts().values())) {
        Job job = jobs.active(attempt.slice().job());
        if (job != null && running(attempt) && due(attempt, job.spec(), left, nowMicros)) {
          stop(attempt, job.spec(), stopper);
        }
      }
    }
  }

  private boolean running(Attempt attempt) {
    return attempt.committed()
        && !attempt.closed()
        && !attempt.killRequested()
        && membership.ownedShards().contains(attempt.slice().shard());
  }

  private boolean due(Attempt attempt, JobSpec spec, long leftMicros, long nowMicros) {
    if (leftMicros <= STOP_MICROS + spec.checkpointMicros()) {
      return true;
    }
    if (spec.shape() != JobSpec.Shape.ARRAY || spec.checkpointIntervalMicros() > 0) {
      return false;
    }
    long ran = attempt.runningSinceMicros() == 0 ? 0 : nowMicros - attempt.runningSinceMicros();
    return estimates.runMicros(spec) - ran > leftMicros * SURELY_LATE;
  }

  /** A gang is stopped as a whole: its progress is saved only if all its tasks are told. */
  private static void stop(Attempt attempt, JobSpec spec, Stopper stopper) {
    double graceS = TerminationGrace.seconds(spec);
    if (spec.shape() != JobSpec.Shape.GANG) {
      stopper.stop(attempt, graceS);
      return;
    }
    for (Attempt member : List.copyOf(attempt.slice().attemptsByTask().values())) {
      if (member.committed() && !member.closed() && !member.killRequested()) {
        stopper.stop(member, graceS);
      }
    }
  }
}
