package gladeknot.commit;

import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.state.StateStore;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Selects the changes that the next transaction contains, and builds its batch. */
final class BatchBuilder {
  private static final Logger LOG = LoggerFactory.getLogger(BatchBuilder.class);

  /**
   * Maximum time that ends of attempts wait so that more changes share one write, in microseconds.
   * Starts, and ends that free resources for waiting tasks, are written without this delay.
   */
  private static final long MAX_BATCHING_DELAY_MICROS = 700_000;

  /** Divisor of the operation limit: key and field mutations use at most this fraction of it. */
  private static final int MUTATION_SHARE_DIVISOR = 2;

  private final StateStore stateStore;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final PendingChanges pending;
  private final SliceReloader reloader;
  private final BatchLimits limits;
  private final CommitState state;
  private final SliceBatcher sliceBatcher;
  private final RejectedChanges rejected;
  private final MutationBatcher mutationBatcher;

  BatchBuilder(
      StateStore stateStore,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      PendingChanges pending,
      SliceReloader reloader,
      BatchLimits limits,
      CommitState state,
      SliceBatcher sliceBatcher,
      RejectedChanges rejected) {
    this.stateStore = stateStore;
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.pending = pending;
    this.reloader = reloader;
    this.limits = limits;
    this.state = state;
    this.sliceBatcher = sliceBatcher;
    this.rejected = rejected;
    this.mutationBatcher = new MutationBatcher(membership, pending, rejected);
  }

  /**
   * Builds a transaction of mutations and of slices without claims. Slices are selected by segment,
   * so that one write commits all pending changes of a segment.
   */
  TransactionBatch buildUpdates() {
    TransactionBatch batch = new TransactionBatch(stateStore, slices.segments());
    int maxOperations = limits.availableOperations();
    if (maxOperations <= 0) {
      return batch;
    }
    mutationBatcher.addTo(batch, Math.max(1, maxOperations / MUTATION_SHARE_DIVISOR));
    Set<String> segmentKeys = chooseSegments(maxOperations - batch.operationCount());
    if (segmentKeys.isEmpty()) {
      return batch;
    }
    for (Slice slice : pending.copyDirtySlices()) {
      if (isPlainUpdate(slice)
          && segmentKeys.contains(slice.key())
          && batch.bytes() < limits.maxBytes()
          && limits.preconditionsFit(slice, batch)) {
        sliceBatcher.add(slice, batch);
      }
    }
    return batch;
  }

  /**
   * Builds a transaction of one change that was part of a rejected transaction; it is empty if
   * there is none.
   */
  TransactionBatch buildSuspect() {
    TransactionBatch batch = new TransactionBatch(stateStore, slices.segments());
    mutationBatcher.addSuspectTo(batch);
    for (Slice slice : pending.copyDirtySlices()) {
      if (batch.isEmpty()
          && rejected.isSuspect(slice)
          && !rejected.isHeld(slice)
          && mayCommit(slice)) {
        sliceBatcher.add(slice, batch);
      }
    }
    return batch;
  }

  /** Returns the keys of at most {@code maxSegments} segments that have a slice due for commit. */
  private Set<String> chooseSegments(int maxSegments) {
    Set<String> segmentKeys = new HashSet<>();
    for (Slice slice : pending.dirtySlices()) {
      boolean ready = isPlainUpdate(slice) && mayCommit(slice);
      if (ready && isDue(slice) && segmentKeys.size() < maxSegments) {
        segmentKeys.add(slice.key());
      }
    }
    return segmentKeys;
  }

  private boolean isPlainUpdate(Slice slice) {
    return slice.pendingClaims().isEmpty() && !slice.needsMigration() && !rejected.isSuspect(slice);
  }

  /**
   * Returns whether this controller may currently commit a slice's changes. Uncommitted starts need
   * the authority to schedule; other changes need only the authority to commit.
   */
  private boolean mayCommit(Slice slice) {
    return membership.permits(ControlAction.SCHEDULE, slice.shard())
        || (membership.permits(ControlAction.COMMIT, slice.shard())
            && !slice.hasUncommittedStarts());
  }

  /** Returns whether a slice's changes are to be committed without further batching delay. */
  private boolean isDue(Slice slice) {
    return state.nowMicros() - slice.dirtySinceMicros() >= MAX_BATCHING_DELAY_MICROS
        || slice.hasUncommittedStarts()
        || slice.isComplete()
        || (slice.hasUncommittedEnds() && state.admission().awaitsEnds(slice))
        || jobs.active(slice.job()) == null;
  }

  /**
   * Builds a transaction that contains only slices with claims. Claims depend on segments of other
   * shards, and a conflict there must not make other changes fail. If the batch is empty because
   * claims exceed the currently available operations, the batch is marked as awaiting tokens.
   */
  TransactionBatch buildClaims() {
    TransactionBatch batch = new TransactionBatch(stateStore, slices.segments());
    int maxKeys = limits.availableOperations();
    boolean skipped = false;
    for (Slice slice : pending.copyDirtySlices()) {
      if (slice.pendingClaims().isEmpty()
          || slice.needsMigration()
          || rejected.isSuspect(slice)
          || !mayCommit(slice)) {
        continue;
      }
      if (!claimFits(slice, batch, maxKeys)) {
        skipped = true;
      } else if (!containsJob(batch, slice.job())) {
        // Two claims of the same tasks in one transaction would both find them pending.
        sliceBatcher.add(slice, batch);
      }
    }
    if (skipped && batch.isEmpty()) {
      batch.markAwaitingTokens();
    }
    return batch;
  }

  private boolean claimFits(Slice slice, TransactionBatch batch, int maxKeys) {
    Set<String> keys = new HashSet<>(batch.packedKeys());
    keys.add(slice.key());
    for (Slice source : slice.pendingClaims().keySet()) {
      keys.add(source.key());
    }
    return keys.size() <= maxKeys
        && batch.bytes() <= limits.maxBytes()
        && limits.preconditionsFit(slice, batch);
  }

  private static boolean containsJob(TransactionBatch batch, String job) {
    for (SliceSnapshot snapshot : batch.slices()) {
      if (snapshot.slice().job().equals(job)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Removes the segments from a batch whose values would exceed the maximum value size, so that no
   * transaction is repeatedly sent and refused for its size. The slices of these segments stay
   * dirty and are retried after more attempts have ended.
   */
  void removeOversizedSegments(TransactionBatch batch) {
    for (String key : batch.segmentsLargerThan(limits.maxValueBytes())) {
      LOG.info("write deferred segment={} reason=value-too-large", key);
      List<SliceSnapshot> dependents = dependentsOf(key, batch);
      if (hasClaims(dependents)) {
        // The claiming and the claimed slice's records are written together or not at all.
        for (SliceSnapshot snapshot : batch.slices()) {
          reloader.reload(snapshot.slice());
        }
        batch.removeSlices();
        return;
      }
      batch.removeSegment(key, dependents);
    }
  }

  private static List<SliceSnapshot> dependentsOf(String key, TransactionBatch batch) {
    List<SliceSnapshot> dependents = new ArrayList<>();
    for (SliceSnapshot snapshot : batch.slices()) {
      if (snapshot.keys().contains(key)) {
        dependents.add(snapshot);
      }
    }
    return dependents;
  }

  private static boolean hasClaims(List<SliceSnapshot> snapshots) {
    for (SliceSnapshot snapshot : snapshots) {
      if (!snapshot.claims().isEmpty()) {
        return true;
      }
    }
    return false;
  }
}
