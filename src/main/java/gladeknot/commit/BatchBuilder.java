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

/** Chooses what the next transaction contains. */
final class BatchBuilder {
  private static final Logger LOG = LoggerFactory.getLogger(BatchBuilder.class);

  /** How long ends wait for others to share a write with; starts and awaited ends don't. */
  private static final long MAX_BATCHING_DELAY_MICROS = 700_000;

  /** The share of a transaction that changes of keys and fields may use, as a divisor. */
  private static final int MUTATION_SHARE = 2;

  private final StateStore stateStore;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final PendingChanges pending;
  private final SliceReloader reloader;
  private final BatchLimits limits;
  private final CommitState state;
  private final SliceBatcher sliceBatcher;
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
      SliceBatcher sliceBatcher) {
    this.stateStore = stateStore;
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.pending = pending;
    this.reloader = reloader;
    this.limits = limits;
    this.state = state;
    this.sliceBatcher = sliceBatcher;
    this.mutationBatcher = new MutationBatcher(membership, pending);
  }

  /**
   * Builds a transaction of mutations and of slices without claims: segment by segment, so that one
   * write commits all that has happened in it.
   */
  TransactionBatch buildUpdates() {
    TransactionBatch batch = new TransactionBatch(stateStore, slices.segments());
    int maxOperations = limits.availableOperations();
    if (maxOperations <= 0) {
      return batch;
    }
    mutationBatcher.addTo(batch, Math.max(1, maxOperations / MUTATION_SHARE));
    Set<String> chosen = chooseSegments(maxOperations - batch.operationCount());
    if (chosen.isEmpty()) {
      return batch;
    }
    for (Slice slice : pending.copyDirtySlices()) {
      if (isPlainUpdate(slice)
          && chosen.contains(slice.key())
          && batch.bytes() < limits.maxBytes()
          && limits.conditionsFit(slice, batch)) {
        sliceBatcher.add(slice, batch);
      }
    }
    return batch;
  }

  /** The segments with slices that don't wait any longer, up to a number. */
  private Set<String> chooseSegments(int maxSegments) {
    Set<String> chosen = new HashSet<>();
    for (Slice slice : pending.dirtySlices()) {
      boolean ready = isPlainUpdate(slice) && mayCommit(slice);
      if (ready && isDue(slice) && chosen.size() < maxSegments) {
        chosen.add(slice.key());
      }
    }
    return chosen;
  }

  private static boolean isPlainUpdate(Slice slice) {
    return slice.pendingClaims().isEmpty() && !slice.needsMigration();
  }

  /** Whether a slice's changes may be committed by what its shard's owner may do now. */
  private boolean mayCommit(Slice slice) {
    return membership.permits(ControlAction.SCHEDULE, slice.shard())
        || (membership.permits(ControlAction.COMMIT, slice.shard())
            && !slice.hasUncommittedStarts());
  }

  /** Whether a slice's changes don't wait for others to share a write with any longer. */
  private boolean isDue(Slice slice) {
    return state.nowMicros() - slice.dirtySinceMicros() >= MAX_BATCHING_DELAY_MICROS
        || slice.hasUncommittedStarts()
        || slice.isComplete()
        || (slice.hasUncommittedEnds() && state.admission().awaitsEnds(slice))
        || jobs.active(slice.job()) == null;
  }

  /**
   * Builds a transaction of slices with claims, and of nothing else: they rely on other shards'
   * segments, and little should fail with them. If it is empty and some claims don't fit into what
   * may be written now, it is marked as awaiting tokens.
   */
  TransactionBatch buildClaims() {
    TransactionBatch batch = new TransactionBatch(stateStore, slices.segments());
    int maxKeys = limits.availableOperations();
    boolean skipped = false;
    for (Slice slice : pending.copyDirtySlices()) {
      if (slice.pendingClaims().isEmpty() || slice.needsMigration() || !mayCommit(slice)) {
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
    for (Slice from : slice.pendingClaims().keySet()) {
      keys.add(from.key());
    }
    return keys.size() <= maxKeys
        && batch.bytes() <= limits.maxBytes()
        && limits.conditionsFit(slice, batch);
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
   * Takes segments out of a batch that would exceed the largest value. Their slices stay dirty and
   * are tried again when more attempts have ended, so that nothing is sent again that is refused
   * for its size.
   */
  void removeOversizedSegments(TransactionBatch batch) {
    for (String key : batch.segmentsLargerThan(limits.maxValueBytes())) {
      LOG.info("write deferred segment={} reason=value-too-large", key);
      List<SliceSnapshot> relying = relyingOn(key, batch);
      if (hasClaims(relying)) {
        // A claimed task's new record and its former one are written together or not at all.
        for (SliceSnapshot snapshot : batch.slices()) {
          reloader.reload(snapshot.slice());
        }
        batch.removeSlices();
        return;
      }
      batch.removeSegment(key, relying);
    }
  }

  private static List<SliceSnapshot> relyingOn(String key, TransactionBatch batch) {
    List<SliceSnapshot> relying = new ArrayList<>();
    for (SliceSnapshot snapshot : batch.slices()) {
      if (snapshot.keys().contains(key)) {
        relying.add(snapshot);
      }
    }
    return relying;
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
