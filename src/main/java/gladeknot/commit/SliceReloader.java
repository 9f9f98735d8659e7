package gladeknot.commit;

import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.state.StateStore;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.SegmentLayout;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tracing.TaskTracer;
import java.util.List;

/** Reloads slices when their stored records have changed or their shards have changed owner. */
final class SliceReloader {
  private final StateStore stateStore;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final TaskTracer tracer;
  private final PendingChanges pending;
  private final CommitState state;

  SliceReloader(
      StateStore stateStore,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      TaskTracer tracer,
      PendingChanges pending,
      CommitState state) {
    this.stateStore = stateStore;
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.tracer = tracer;
    this.pending = pending;
    this.state = state;
  }

  /** Reloads a slice: uncommitted starts and claims are dropped, and observed ends are kept. */
  void reload(Slice slice) {
    pending.remove(slice);
    loadAndRecommit(slice.shard(), slice.job());
  }

  /** Resets a slice to its stored record, without anything to commit. */
  void discardChanges(Slice slice) {
    pending.remove(slice);
    load(slice.shard(), slice.job());
  }

  /** Loads a slice that has no changes to commit. */
  void load(int shard, String job) {
    slices.load(shard, job, jobs.active(job));
  }

  /**
   * Loads the slices whose records in a segment have changed. A segment that is being written is
   * skipped until its transaction has an outcome. Keys that are not segments are ignored.
   */
  void refreshSegment(String key) {
    if (!key.startsWith(SegmentLayout.KEY_PREFIX) || state.writes(key)) {
      return;
    }
    slices.segments().detectChanges(key, this::onRecordChanged);
  }

  private void onRecordChanged(int shard, String job) {
    Slice slice = slices.get(shard, job);
    if (slice != null && membership.ownedShards().contains(shard)) {
      reload(slice);
    } else {
      loadAndRecommit(shard, job);
    }
  }

  private void loadAndRecommit(int shard, String job) {
    slices.load(shard, job, jobs.active(job)).ifPresent(this::recommit);
  }

  /** Marks a slice as dirty if the end of an attempt or of the slice's job is not committed yet. */
  private void recommit(Slice slice) {
    if (!membership.ownedShards().contains(slice.shard())) {
      return;
    }
    boolean jobEnded = jobs.active(slice.job()) == null && slice.attemptsByTask().isEmpty();
    if (!hasClosedAttempts(slice) && !jobEnded) {
      return;
    }
    for (Attempt attempt : slice.attemptsByTask().values()) {
      if (attempt.closed() && attempt.succeeded()) {
        slice.markDone(attempt.task(), jobs.active(slice.job()));
      }
    }
    pending.markDirty(slice, state.nowMicros());
  }

  private static boolean hasClosedAttempts(Slice slice) {
    for (Attempt attempt : slice.attemptsByTask().values()) {
      if (attempt.closed()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Reloads a shard that has been acquired, or whose transactions of unknown outcome have been
   * resolved.
   */
  void onAcquired(int shard) {
    String prefix = SegmentLayout.keyPrefix(shard);
    for (String key : List.copyOf(stateStore.withPrefix(prefix).keySet())) {
      refreshSegment(key);
    }
    for (Slice slice : List.copyOf(slices.inShard(shard))) {
      reload(slice);
    }
  }

  /** Drops the changes of a released shard and resets its slices to their stored records. */
  void onReleased(int shard) {
    pending.removeIf(slice -> slice.shard() == shard);
    slices.forgetAttempts(shard);
    tracer.shardReleased(shard);
    for (Slice slice : List.copyOf(slices.inShard(shard))) {
      load(shard, slice.job());
    }
  }
}
