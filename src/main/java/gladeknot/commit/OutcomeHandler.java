package gladeknot.commit;

import gladeknot.membership.Membership;
import gladeknot.state.CommitOutcome;
import gladeknot.state.CommitStatus;
import gladeknot.state.StateStore;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tracing.TaskTracer;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Applies the outcome of a transaction to the slices and mutations that were in it. */
final class OutcomeHandler {
  private static final Logger LOG = LoggerFactory.getLogger(OutcomeHandler.class);

  /** Pause after a transaction that was certainly not executed, in microseconds. */
  private static final long PAUSE_MICROS = 150_000;

  /** Backoff of starts in a slice whose record the state service rejects, in microseconds. */
  private static final long REJECTED_SLICE_BACKOFF_MICROS = 60_000_000;

  private final StateStore stateStore;
  private final Membership membership;
  private final SliceRegistry slices;
  private final TaskTracer tracer;
  private final PendingChanges pending;
  private final SliceReloader reloader;
  private final BatchLimits limits;
  private final CommitState state;
  private final RejectedChanges rejected;
  private CommitListener listener = () -> {};

  OutcomeHandler(
      StateStore stateStore,
      Membership membership,
      SliceRegistry slices,
      TaskTracer tracer,
      PendingChanges pending,
      SliceReloader reloader,
      BatchLimits limits,
      CommitState state,
      RejectedChanges rejected) {
    this.stateStore = stateStore;
    this.membership = membership;
    this.slices = slices;
    this.tracer = tracer;
    this.pending = pending;
    this.reloader = reloader;
    this.limits = limits;
    this.state = state;
    this.rejected = rejected;
  }

  /** Sets the listener that is notified after each outcome has been applied. */
  void setListener(CommitListener newListener) {
    listener = newListener;
  }

  /** Handles the outcome of the transaction in flight. */
  void onOutcome(TransactionBatch batch, CommitOutcome outcome) {
    state.end();
    if (outcome.status() == CommitStatus.CONFLICT) {
      onConflict(batch, outcome);
      return;
    }
    switch (outcome.status()) {
      case COMMITTED -> onCommitted(batch);
      case UNKNOWN -> onUnknown(batch);
      case REJECTED -> onRejected(batch);
      default -> {
        state.pause(PAUSE_MICROS);
        retryLater(batch);
      }
    }
    listener.onOutcomeApplied();
  }

  private void onCommitted(TransactionBatch batch) {
    limits.onCommitted();
    rejected.onCommitted(batch);
    batch.packedValues().forEach(slices.segments()::onSegmentWritten);
    batch.slices().forEach(this::onSliceCommitted);
    batch.keyMutations().forEach(mutation -> mutation.callback().onOutcome(true));
    batch.fieldMutations().forEach(mutation -> mutation.callback().onOutcome(true));
    batch.packedKeys().forEach(reloader::refreshSegment);
  }

  private void onSliceCommitted(SliceSnapshot snapshot) {
    Slice slice = snapshot.slice();
    if (!slices.contains(slice) || slice.reloads() != snapshot.reloads()) {
      // The slice was dropped or reloaded while the transaction was in flight, for example because
      // its shard changed owner. The working copy lacks the committed changes; the record has them.
      reloader.reload(slice);
      loadClaimed(snapshot);
      return;
    }
    slice.markStored(snapshot.key(), snapshot.done());
    snapshot.live().forEach(this::onStartCommitted);
    snapshot.closed().forEach(this::onEndCommitted);
    snapshot.claims().keySet().forEach(slice::removeClaim);
    loadClaimed(snapshot);
    if (slice.version() == snapshot.version()) {
      pending.remove(slice);
      slice.markClean();
    }
    if (!slices.segments().value(slice.key()).contains(slice.job())) {
      reloader.discardChanges(slice);
    }
  }

  private void loadClaimed(SliceSnapshot snapshot) {
    for (Slice source : snapshot.claims().keySet()) {
      reloader.load(source.shard(), source.job());
    }
  }

  private void onEndCommitted(Attempt attempt) {
    slices.removeAttempt(attempt);
    LOG.debug("attempt end committed attempt={} shard={}", attempt, attempt.slice().shard());
  }

  private void onStartCommitted(Attempt attempt) {
    if (attempt.committed()) {
      return;
    }
    attempt.markCommitted();
    int shard = attempt.slice().shard();
    tracer.committed(attempt.traceId(), attempt.host(), shard, membership.term(shard));
    LOG.info("attempt started attempt={} shard={} term={}", attempt, shard, membership.term(shard));
  }

  private void onConflict(TransactionBatch batch, CommitOutcome outcome) {
    LOG.info("transaction conflicted keys={}", outcome.conflictingKeys());
    state.awaitRevision();
    stateStore.whenRevisionReached(
        outcome.revision(),
        () -> {
          state.revisionReached();
          dropConflicting(batch, outcome.conflictingKeys());
          listener.onOutcomeApplied();
        });
  }

  /** Drops changes that depend on conflicting keys; all other changes of the batch stay pending. */
  private void dropConflicting(TransactionBatch batch, List<String> changedKeys) {
    batch.packedKeys().forEach(reloader::refreshSegment);
    for (SliceSnapshot snapshot : batch.slices()) {
      if (snapshot.dependsOnAny(changedKeys) && pending.isDirty(snapshot.slice())) {
        reloader.reload(snapshot.slice());
      }
    }
    for (KeyMutation mutation : batch.keyMutations()) {
      if (mutation.dependsOnAny(changedKeys)) {
        mutation.callback().onOutcome(false);
      } else {
        pending.submit(mutation);
      }
    }
    pending.resubmitFieldMutations(batch);
  }

  /**
   * Handles a transaction that may have been executed or may still be executed later. A new
   * revision of each shard's key rules out later execution. Once that revision is in the cache, the
   * cache shows whether the transaction was executed.
   */
  private void onUnknown(TransactionBatch batch) {
    Set<Integer> shards = new TreeSet<>();
    batch.slices().forEach(snapshot -> shards.add(snapshot.slice().shard()));
    batch.keyMutations().forEach(mutation -> shards.add(mutation.shard()));
    batch.fieldMutations().forEach(mutation -> shards.add(mutation.shard()));
    LOG.info("transaction outcome unknown shards={}", shards);
    shards.forEach(membership::markInDoubt);
    retryLater(batch);
  }

  /**
   * Handles a transaction that the state service refuses for good. It would refuse the same
   * transaction again, so its changes are sent one by one, and a change that is refused alone is
   * dropped.
   */
  private void onRejected(TransactionBatch batch) {
    state.pause(PAUSE_MICROS);
    if (!batch.hasSingleChange()) {
      limits.onRejected();
      rejected.suspectAll(batch);
      retryLater(batch);
      return;
    }
    LOG.error("change rejected keys={}", batch.keys());
    rejected.onRejectedAlone(batch);
    batch.keyMutations().forEach(mutation -> mutation.callback().onOutcome(false));
    batch.fieldMutations().forEach(mutation -> mutation.callback().onOutcome(false));
    batch.packedKeys().forEach(reloader::refreshSegment);
    batch.slices().forEach(snapshot -> dropStarts(snapshot.slice()));
  }

  /** Drops the uncommitted starts and claims of a slice; ends wait until the slice changes. */
  private void dropStarts(Slice slice) {
    reloader.reload(slice);
    slice.backOffUntil(state.nowMicros() + REJECTED_SLICE_BACKOFF_MICROS);
    rejected.holdUntilChanged(slice);
  }

  private void retryLater(TransactionBatch batch) {
    pending.resubmit(batch);
    batch.packedKeys().forEach(reloader::refreshSegment);
  }
}
