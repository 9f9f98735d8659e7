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
 * Moves records that are in segments of an earlier storage format to the segments where they
 * belong, one segment at a time and before anything else is committed: such a segment may be larger
 * than any value may be soon.
 */
final class SegmentMigrator {
  /** How long after the last step the slices are searched again for misplaced records. */
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

  /** Segments that could not be moved as they are; tried again after all others. */
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

  /** Takes the next step; returns whether one is in flight or waits for write tokens. */
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
        return take(step.get());
      }
    }
    unmovable.clear();
    nextSearchMicros = state.nowMicros() + RETRY_INTERVAL_MICROS;
    return false;
  }

  /** Claims of a slice are decided again once its record is where it belongs. */
  private void dropMisplacedClaims(int shard) {
    for (Slice slice : List.copyOf(slices.inShard(shard))) {
      if (slice.needsMigration() && !slice.pendingClaims().isEmpty()) {
        reloader.reload(slice);
      }
    }
  }

  private boolean take(SegmentMigration.Step step) {
    TransactionBatch batch = batchOf(step);
    // A record must not leave one segment without entering the other: all is written, or nothing.
    if (batch.slices().isEmpty() || !batch.segmentsLargerThan(limits.maxValueBytes()).isEmpty()) {
      unmovable.add(step.segment());
      return false;
    }
    // While its tokens are missing nothing else is sent that would take them.
    sender.trySend(batch);
    return true;
  }

  private TransactionBatch batchOf(SegmentMigration.Step step) {
    TransactionBatch batch = new TransactionBatch(stateStore, slices.segments());
    for (Slice slice : step.moving()) {
      if (limits.conditionsFit(slice, batch)) {
        sliceBatcher.add(slice, batch);
      }
    }
    for (Slice slice : step.staying()) {
      // Written again, and so in the compact form. Changes of dirty slices are committed later.
      if (!pending.isDirty(slice)) {
        batch.put(step.segment(), slice.job(), slice.encode());
      }
    }
    return batch;
  }
}
