package gladeknot.commit;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.state.StateStore;
import gladeknot.state.TransactionLimits;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;

/** How much one transaction may contain, by the state store's limits, rates and refusals. */
final class BatchLimits {
  /** The share of the write tokens that is left to submissions and aborts: users wait for those. */
  private static final double RESERVED_TOKEN_SHARE = 0.3;

  /** A claim writes two keys. */
  private static final int MIN_OPERATIONS = 2;

  /** How small transactions become, by halving the factor after each refusal. */
  private static final double MIN_SIZE_FACTOR = 0.05;

  private static final double SIZE_STEP = 2;

  /** What a slice relies on besides its job and claims: segment, shard, format, delegation. */
  private static final int USUAL_CONDITIONS = 5;

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

  /** A transaction was committed: the next may be larger again. */
  void onCommitted() {
    sizeFactor = Math.min(1, sizeFactor * SIZE_STEP);
  }

  /** A transaction was refused, perhaps for its size: it is never sent again as it was. */
  void onRejected() {
    sizeFactor = Math.max(MIN_SIZE_FACTOR, sizeFactor / SIZE_STEP);
  }

  /** The most operations of a transaction. */
  int maxOperations() {
    return Math.max(MIN_OPERATIONS, (int) (limits.maxOperations() * sizeFactor));
  }

  /** The most operations of a transaction that there are write tokens for. */
  int availableOperations() {
    return Math.min(maxOperations(), stateStore.availableWrites(RESERVED_TOKEN_SHARE));
  }

  /** The largest value, in bytes. */
  int maxValueBytes() {
    return limits.maxValueBytes();
  }

  /** About the most bytes of all values of a transaction. */
  int maxBytes() {
    return limits.maxTransactionBytes();
  }

  /**
   * Whether a batch can take a slice's conditions as well: its segment and shard, its job, the
   * job's other slices if these decide on zones, and the segments that it claims from. An empty
   * batch takes any slice.
   */
  boolean conditionsFit(Slice slice, TransactionBatch batch) {
    int additional = USUAL_CONDITIONS + slice.pendingClaims().size();
    if (slice.needsMigration()) {
      additional++;
    }
    Job job = jobs.active(slice.job());
    if (job != null && slice.hasUncommittedStarts() && hasZoneConstraints(job)) {
      additional += slices.ofJob(slice.job()).size();
    }
    int max = limits.maxConditions(maxOperations());
    return batch.slices().isEmpty() || batch.conditions().size() + additional <= max;
  }

  /** Whether a job's tasks may be started only where its others are, or are not. */
  static boolean hasZoneConstraints(Job job) {
    return job.spec().spread() || job.spec().colocated();
  }
}
