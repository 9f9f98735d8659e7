package gladeknot.commit;

import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.state.StateStore;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tracing.TaskTracer;

/**
 * Commits the changes of owned shards, one transaction at a time. Each transaction is conditional
 * on the revisions of the shards' keys and of every key that it changes or depends on.
 *
 * <p>Keys that pack the records of many slices or machines are changed field by field. A
 * transaction takes the newest cached value of such a key, changes its fields and is conditional on
 * that value's revision.
 */
public final class TransactionCommitter {
  private final Membership membership;
  private final SliceRegistry slices;
  private final PendingChanges pending = new PendingChanges();
  private final CommitState state = new CommitState();
  private final RejectedChanges rejected = new RejectedChanges();
  private final SliceReloader reloader;
  private final BatchBuilder builder;
  private final OutcomeHandler outcomes;
  private final TransactionSender sender;
  private final SegmentMigrator migrator;
  private boolean claimsNext;
  private boolean suspectNext;

  /** Creates a committer without pending changes. */
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
            stateStore,
            membership,
            jobs,
            slices,
            pending,
            reloader,
            limits,
            state,
            sliceBatcher,
            rejected);
    outcomes =
        new OutcomeHandler(
            stateStore, membership, slices, tracer, pending, reloader, limits, state, rejected);
    sender = new TransactionSender(stateStore, state, outcomes);
    migrator =
        new SegmentMigrator(
            stateStore, membership, slices, pending, reloader, limits, state, sliceBatcher, sender);
  }

  /** Sets the listener that is notified after each transaction's outcome has been applied. */
  public void setListener(CommitListener listener) {
    outcomes.setListener(listener);
  }

  /** Sets the admission that checks starts again when they are committed. */
  public void useAdmission(StartAdmission admission) {
    state.setAdmission(admission);
  }

  /** Marks a slice, whose working copy has changed, to be committed. */
  public void markDirty(Slice slice) {
    pending.markDirty(slice, state.nowMicros());
  }

  /** Adds a key mutation to be committed. */
  public void submit(KeyMutation mutation) {
    pending.submit(mutation);
  }

  /** Adds a field mutation to be committed. */
  public void submit(FieldMutation mutation) {
    pending.submit(mutation);
  }

  /** Returns whether the segment that holds a slice's record is being written. */
  public boolean isInFlight(Slice slice) {
    return state.writes(slice.key());
  }

  /**
   * Sends the next transaction if there is one.
   *
   * @param nowMicros the steady clock, in microseconds
   */
  public void tick(long nowMicros) {
    state.tick(nowMicros);
    flush();
  }

  /** Sends the next transaction if none is in flight and there is something to commit. */
  public void flush() {
    if (!state.ready() || membership.format().isSuperseded()) {
      return;
    }
    // A slice that was dropped with its job before its first start was committed has nothing to
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
   * Builds batches of one suspect change each and other batches alternately, so that neither holds
   * up the other.
   */
  private TransactionBatch buildNext() {
    suspectNext = rejected.hasSuspects() && !suspectNext;
    if (suspectNext) {
      rejected.retainSlices(pending.dirtySlices());
      TransactionBatch batch = builder.buildSuspect();
      if (!batch.isEmpty()) {
        return batch;
      }
    }
    return buildNextUnsuspected();
  }

  /**
   * Builds batches of claims and of other changes alternately. A claim needs at least two writes,
   * and its resources stay allocated until it is committed. If other changes always used up the
   * write tokens, a claim would never be committed.
   */
  private TransactionBatch buildNextUnsuspected() {
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

  /**
   * Loads the changed records of a segment. A segment that is being written is loaded after its
   * transaction has an outcome.
   */
  public void refreshSegment(String key) {
    reloader.refreshSegment(key);
  }

  /**
   * Reloads a shard that has been acquired, or whose transactions of unknown outcome have been
   * resolved.
   */
  public void onAcquired(int shard) {
    reloader.onAcquired(shard);
  }

  /** Drops the changes of a released shard and resets its slices to their stored records. */
  public void onReleased(int shard) {
    reloader.onReleased(shard);
  }
}
