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

/** Loads slices again when their stored records have changed or their shards change owner. */
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

  /** Loads a slice again: what was only decided is dropped, ends that were observed are kept. */
  void reload(Slice slice) {
    pending.remove(slice);
    loadAndRecommit(slice.shard(), slice.job());
  }

  /** Sets a slice to its stored record, with nothing left to commit. */
  void discardChanges(Slice slice) {
    pending.remove(slice);
    load(slice.shard(), slice.job());
  }

  /** Loads a slice to which nothing was added that has to be committed. */
  void load(int shard, String job) {
    slices.load(shard, job, jobs.active(job));
  }

  /**
   * Loads the slices whose records in a segment have changed. A segment that is being written is
   * left alone until its transaction has an outcome; keys that are not segments are ignored.
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

  /** Marks a slice as dirty if the end of an attempt or of its job is still to be committed. */
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

  /** A shard has been acquired, or its commits of unknown outcome have been settled. */
  void onAcquired(int shard) {
    String prefix = SegmentLayout.keyPrefix(shard);
    for (String key : List.copyOf(stateStore.withPrefix(prefix).keySet())) {
      refreshSegment(key);
    }
    for (Slice slice : List.copyOf(slices.inShard(shard))) {
      reload(slice);
    }
  }

  /** A shard has been released: its slices are what their records say. */
  void onReleased(int shard) {
    pending.removeIf(slice -> slice.shard() == shard);
    slices.forgetAttempts(shard);
    tracer.shardReleased(shard);
    for (Slice slice : List.copyOf(slices.inShard(shard))) {
      load(shard, slice.job());
    }
  }
}
