package gladeknot.commit;

import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.state.StateStore;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tracing.TaskTracer;

/**
 * Commits the changes of owned shards: one transaction at a time, each conditional on the revisions
 * of the shards' keys and of every key that it changes or relies on.
 *
 * <p>Keys that pack the records of many slices or machines are changed field by field: a
 * transaction takes the newest copy of such a key, changes its fields and is conditional on that
 * copy's revision.
 */
public final class TransactionCommitter {
  private final Membership membership;
  private final SliceRegistry slices;
  private final PendingChanges pending = new PendingChanges();
  private final CommitState state = new CommitState();
  private final SliceReloader reloader;
  private final BatchBuilder builder;
  private final OutcomeHandler outcomes;
  private final TransactionSender sender;
  private final SegmentMigrator migrator;
  private boolean claimsNext;

  /** A committer with nothing to commit. */
  public TransactionCommitter(
      StateStore stateStore,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      TaskTracer tracer) {
    this.membership = membership;
    this.slices = slices;
    reloader = new SliceReloader(stateStore, membership, jobs, slices, tracer, pending, state);
    BatchLimits limits = new BatchLimits(stateStore, jobs, slices);
    SliceBatcher sliceBatcher =
        new SliceBatcher(membership, jobs, slices, pending, reloader, limits, state);
    builder =
        new BatchBuilder(
            stateStore, membership, jobs, slices, pending, reloader, limits, state, sliceBatcher);
    outcomes =
        new OutcomeHandler(
            stateStore, membership, slices, tracer, pending, reloader, limits, state);
    sender = new TransactionSender(stateStore, state, outcomes);
    migrator =
        new SegmentMigrator(
            stateStore, membership, slices, pending, reloader, limits, state, sliceBatcher, sender);
  }

  /** Sets who hears of each transaction's outcome after it has been applied. */
  public void afterCommit(CommitListener listener) {
    outcomes.setListener(listener);
  }

  /** Sets what decides on starts once more when they are committed. */
  public void useAdmission(StartAdmission admission) {
    state.setAdmission(admission);
  }

  /** A slice's working copy has changed: it is to be committed. */
  public void markDirty(Slice slice) {
    pending.markDirty(slice, state.nowMicros());
  }

  /** Adds a change of a whole key. */
  public void submit(KeyMutation mutation) {
    pending.submit(mutation);
  }

  /** Adds a change of one field of a packed key. */
  public void submit(FieldMutation mutation) {
    pending.submit(mutation);
  }

  /** Whether the segment that holds a slice's record is being written. */
  public boolean isInFlight(Slice slice) {
    return state.writes(slice.key());
  }

  /** Sends the next transaction if there is one to send; the time is of the steady clock. */
  public void tick(long nowMicros) {
    state.tick(nowMicros);
    flush();
  }

  /** Sends the next transaction if none is in flight and there is something to commit. */
  public void flush() {
    if (!state.ready() || membership.format().isSuperseded()) {
      return;
    }
    // A slice that was dropped with its job, before its first start was committed, has nothing to
    // commit.
    pending.removeIf(slice -> !slices.contains(slice));
    state.admission().beginBatch();
    if (migrator.migrate() || pending.isEmpty()) {
      return;
    }
    TransactionBatch batch = buildNext();
    if (batch.isEmpty()) {
      return;
    }
    builder.removeOversizedSegments(batch);
    if (!batch.isEmpty() && !sender.trySend(batch)) {
      pending.putBack(batch);
    }
  }

  /**
   * Claims and all else take turns. A claim needs two writes at least, and the resources that it
   * was decided on stay allocated until it is committed: if the others used up the tokens each
   * time, it would wait for ever.
   */
  private TransactionBatch buildNext() {
    TransactionBatch batch = build();
    if (batch.awaitsTokens()) {
      return batch;
    }
    claimsNext = !claimsNext;
    return batch.isEmpty() ? build() : batch;
  }

  private TransactionBatch build() {
    return claimsNext ? builder.buildClaims() : builder.buildUpdates();
  }

  /** Takes in what has changed in a segment; one that is being written, once that has ended. */
  public void refreshSegment(String key) {
    reloader.refreshSegment(key);
  }

  /** A shard has been acquired, or its commits of unknown outcome have been settled. */
  public void onAcquired(int shard) {
    reloader.onAcquired(shard);
  }

  /** A shard has been released: its slices are what their records say. */
  public void onReleased(int shard) {
    reloader.onReleased(shard);
  }
}
