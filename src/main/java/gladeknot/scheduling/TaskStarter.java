package gladeknot.scheduling;

import gladeknot.commit.TransactionCommitter;
import gladeknot.jobs.JobRegistry;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;

/** Binds tasks to machines: adds attempts to the slices and marks the slices for commit. */
final class TaskStarter {
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final TransactionCommitter committer;
  private final TeamGuarantees guarantees;

  TaskStarter(
      JobRegistry jobs,
      SliceRegistry slices,
      TransactionCommitter committer,
      TeamGuarantees guarantees) {
    this.jobs = jobs;
    this.slices = slices;
    this.committer = committer;
    this.guarantees = guarantees;
  }

  /** Adds an attempt of a task on a machine. The start command is sent after the commit. */
  void start(Slice slice, int task, long attemptNumber, CandidateMachine machine, long nowMicros) {
    machine.allocate(slice.cpus(), slice.gpus(), slice.memory());
    guarantees.onStart(jobs.active(slice.job()).spec());
    slices.addAttempt(new Attempt(slice, task, attemptNumber, machine.worker().host(), nowMicros));
    committer.markDirty(slice);
  }

  /** Returns the number of further attempts that fit into the stored record of a slice. */
  int recordCapacity(Slice slice) {
    int uncommitted = 0;
    for (Attempt attempt : slice.attemptsByTask().values()) {
      uncommitted += attempt.committed() ? 0 : 1;
    }
    return slices.attemptCapacity(slice, uncommitted);
  }
}
