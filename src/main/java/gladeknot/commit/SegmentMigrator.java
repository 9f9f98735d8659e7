package gladeknot.commit;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.state.StateStore;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Moves records from segments of an earlier storage format to their target segments, one segment at
 * a time. Migration has priority over all other commits, because an old segment may exceed the
 * maximum value size that will soon be in force.
 */
final class SegmentMigrator {
  /** Interval between a search that found no step and the next search, in microseconds. */
  private static final long RETRY_INTERVAL_MICROS = 500_000;

  private final StateStore stateStore;
  private final Membership membership;
  private final SliceRegistry slices;
  private final PendingChanges pending;
  private final SliceReloader reloader;
  private final BatchLimits limits;
  private final CommitState state;
  private final SliceBatcher sliceBatcher;
  private final TransactionSender sender;

  /** Keys of segments that could not be moved; retried after all other segments. */
  private final Set<String> unmovable = new HashSet<>();

  private long nextSearchMicros;

  SegmentMigrator(
      StateStore stateStore,
      Membership membership,
      SliceRegistry slices,
      PendingChanges pending,
      SliceReloader reloader,
      BatchLimits limits,
      CommitState state,
      SliceBatcher sliceBatcher,
      TransactionSender sender) {
    this.stateStore = stateStore;
    this.membership = membership;
    this.slices = slices;
    this.pending = pending;
    this.reloader = reloader;
    this.limits = limits;
    this.state = state;
    this.sliceBatcher = sliceBatcher;
    this.sender = sender;
  }

  /** Executes the next step; returns whether a step is in flight or waits for write tokens. */
  boolean migrate() {
    if (state.nowMicros() < nextSearchMicros) {
      return false;
    }
    for (int shard : membership.ownedShards()) {
      if (!membership.permits(ControlAction.COMMIT, shard)) {
        continue;
      }
      dropMisplacedClaims(shard);
      Optional<SegmentMigration.Step> step =
          SegmentMigration.next(slices.inShard(shard), limits.maxOperations(), unmovable);
      if (step.isPresent()) {
        return execute(step.get());
      }
    }
    unmovable.clear();
    nextSearchMicros = state.nowMicros() + RETRY_INTERVAL_MICROS;
    return false;
  }

  /**
   * Drops the claims of slices that need migration. Claims are decided again after the slice's
   * record has moved.
   */
  private void dropMisplacedClaims(int shard) {
    for (Slice slice : List.copyOf(slices.inShard(shard))) {
      if (slice.needsMigration() && !slice.pendingClaims().isEmpty()) {
        reloader.reload(slice);
      }
    }
  }

  private boolean execute(SegmentMigration.Step step) {
    TransactionBatch batch = buildBatch(step);
    // A record must leave its old segment and enter its target segment in the same transaction.
    if (batch.slices().isEmpty() || !batch.segmentsLargerThan(limits.maxValueBytes()).isEmpty()) {
      unmovable.add(step.segment());
      return false;
    }
    // Returns true even if write tokens are missing, so that no other transaction uses them up.
    sender.trySend(batch);
    return true;
  }

  private TransactionBatch buildBatch(SegmentMigration.Step step) {
    TransactionBatch batch = new TransactionBatch(stateStore, slices.segments());
    for (Slice slice : step.moving()) {
      if (limits.preconditionsFit(slice, batch)) {
        sliceBatcher.add(slice, batch);
      }
    }
    for (Slice slice : step.remaining()) {
      // Rewrites the record in its compact form. Changes of dirty slices are committed later.
      if (!pending.isDirty(slice)) {
        batch.put(step.segment(), slice.job(), slice.encode());
      }
    }
    return batch;
  }
}
