package gladeknot.lifecycle;

import gladeknot.commit.TransactionCommitter;
import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.WorkerCommand;
import java.util.ArrayList;
import java.util.List;

/** Stops the remaining attempts of jobs that are completed or cancelled. */
final class FinishedJobs {
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final TransactionCommitter committer;
  private final AttemptTracker attempts;

  FinishedJobs(
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      TransactionCommitter committer,
      AttemptTracker attempts) {
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.committer = committer;
    this.attempts = attempts;
  }

  /**
   * Stops the attempts of a job whose final state is committed, and removes its uncommitted starts.
   */
  void stop(String job) {
    for (Slice slice : slices.ofJob(job)) {
      if (isOwned(slice)) {
        stop(slice);
        committer.markDirty(slice);
      }
    }
  }

  private void stop(Slice slice) {
    for (Attempt attempt : List.copyOf(slice.attemptsByTask().values())) {
      if (!attempt.committed()) {
        slices.removeAttempt(attempt);
      } else if (!attempt.closed()) {
        attempts.killForFinishedJob(attempt);
      }
    }
  }

  /**
   * Stops the attempts of a job whose cancellation another controller has committed. The cache may
   * still show the job as active.
   */
  void stopCancelledElsewhere(String job) {
    for (Slice slice : slices.ofJob(job)) {
      if (isOwned(slice)) {
        stopCommitted(slice);
      }
    }
  }

  private void stopCommitted(Slice slice) {
    for (Attempt attempt : slice.attemptsByTask().values()) {
      if (attempt.committed() && !attempt.closed()) {
        attempts.killForFinishedJob(attempt);
      }
    }
  }

  /**
   * Returns kill commands for a heartbeat's tasks whose jobs are finished. The cache must be at
   * least as recent as the heartbeat: it then shows each unfinished job that tasks were started of.
   */
  List<WorkerCommand> kills(Heartbeat heartbeat) {
    List<WorkerCommand> kills = new ArrayList<>();
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      if (!status.ended() && jobs.unfinished(status.job()) == null) {
        kills.add(WorkerCommand.Kill.immediately(status.name(), status.attempt()));
      }
    }
    return kills;
  }

  private boolean isOwned(Slice slice) {
    return membership.ownedShards().contains(slice.shard());
  }
}
