package gladeknot.commit;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.state.StateStore;
import gladeknot.state.TransactionLimits;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;

/** Limits the size of a transaction by the state service's limits, write tokens and refusals. */
final class BatchLimits {
  /**
   * Share of the write tokens reserved for submissions and aborts, because users wait for these.
   */
  private static final double RESERVED_TOKEN_SHARE = 0.3;

  /** Minimum number of operations in a transaction: a claim writes two keys. */
  private static final int MIN_OPERATIONS = 2;

  /** Lower bound of the size factor, which is halved after each refusal. */
  private static final double MIN_SIZE_FACTOR = 0.05;

  /** Factor by which the size factor changes after a commit or a refusal. */
  private static final double SIZE_FACTOR_STEP = 2;

  /**
   * Number of a slice's preconditions besides its job and its claims. They concern the segment, the
   * shard, the storage format and the delegation.
   */
  private static final int COMMON_PRECONDITIONS = 5;

  private final StateStore stateStore;
  private final TransactionLimits limits;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private double sizeFactor = 1;

  BatchLimits(StateStore stateStore, JobRegistry jobs, SliceRegistry slices) {
    this.stateStore = stateStore;
    this.limits = stateStore.limits();
    this.jobs = jobs;
    this.slices = slices;
  }

  /** Raises the size limit again after a committed transaction. */
  void onCommitted() {
    sizeFactor = Math.min(1, sizeFactor * SIZE_FACTOR_STEP);
  }

  /**
   * Lowers the size limit after a refused transaction. The refusal may be due to the transaction's
   * size, so the transaction is never sent again unchanged.
   */
  void onRejected() {
    sizeFactor = Math.max(MIN_SIZE_FACTOR, sizeFactor / SIZE_FACTOR_STEP);
  }

  /** Returns the maximum number of operations in a transaction. */
  int maxOperations() {
    return Math.max(MIN_OPERATIONS, (int) (limits.maxOperations() * sizeFactor));
  }

  /** Returns the maximum number of operations in a transaction, limited by the write tokens. */
  int availableOperations() {
    return Math.min(maxOperations(), stateStore.availableWrites(RESERVED_TOKEN_SHARE));
  }

  /** Returns the maximum size of a value, in bytes. */
  int maxValueBytes() {
    return limits.maxValueBytes();
  }

  /** Returns the approximate maximum size of all values in a transaction, in bytes. */
  int maxBytes() {
    return limits.maxTransactionBytes();
  }

  /**
   * Returns whether a batch has room for a slice's preconditions. They cover the slice's segment
   * and shard, its job, the segments that it claims from and, if the job has zone constraints, the
   * job's other slices. A batch without slices has room for any slice.
   */
  boolean preconditionsFit(Slice slice, TransactionBatch batch) {
    int additional = COMMON_PRECONDITIONS + slice.pendingClaims().size();
    if (slice.needsMigration()) {
      additional++;
    }
    Job job = jobs.active(slice.job());
    if (job != null && slice.hasUncommittedStarts() && hasZoneConstraints(job)) {
      additional += slices.ofJob(slice.job()).size();
    }
    int maxPreconditions = limits.maxPreconditions(maxOperations());
    return batch.slices().isEmpty()
        || batch.preconditions().size() + additional <= maxPreconditions;
  }

  /** Returns whether the zones of a job's tasks restrict where its further tasks may start. */
  static boolean hasZoneConstraints(Job job) {
    return job.spec().spread() || job.spec().colocated();
  }
}
