package gladeknot.commit;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import gladeknot.tasks.Slice;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Changes that were part of a transaction which the state service rejected as malformed.
 *
 * <p>Such a transaction does not show which of its changes is at fault. Each of them is therefore
 * committed alone from then on, until it succeeds, so that a faulty one holds up no other. A change
 * that is rejected alone is itself at fault. It is dropped, and an equal change is not sent again.
 */
final class RejectedChanges {
  /** Maximum number of mutations that are remembered; the least recently used are forgotten. */
  private static final int MAX_REMEMBERED = 1000;

  /** Identifies what a mutation changes; the field is null for a whole key. */
  private record Target(String key, String field) {
    static Target of(KeyMutation mutation) {
      return new Target(mutation.mutation().key(), null);
    }

    static Target of(FieldMutation mutation) {
      return new Target(mutation.key(), mutation.field());
    }
  }

  /** A value that was rejected alone; null stands for a deletion. */
  private record RejectedValue(Object value) {}

  private final Cache<Target, Boolean> suspects = newCache();
  private final Cache<Target, RejectedValue> rejectedValues = newCache();
  private final Set<Slice> suspectSlices = new HashSet<>();

  /** Versions of slices that were rejected alone; a slice is not committed before it changes. */
  private final Map<Slice, Long> rejectedVersions = new HashMap<>();

  private static <V> Cache<Target, V> newCache() {
    return CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED).build();
  }

  /**
   * Records that a transaction with several changes was rejected: each is a suspect from now on.
   */
  void suspectAll(TransactionBatch batch) {
    batch.keyMutations().forEach(mutation -> suspects.put(Target.of(mutation), true));
    batch.fieldMutations().forEach(mutation -> suspects.put(Target.of(mutation), true));
    batch.slices().forEach(snapshot -> suspectSlices.add(snapshot.slice()));
  }

  /** Records that the only change of a transaction was rejected. */
  void onRejectedAlone(TransactionBatch batch) {
    for (KeyMutation mutation : batch.keyMutations()) {
      rejectedValues.put(Target.of(mutation), new RejectedValue(mutation.mutation().data()));
    }
    for (FieldMutation mutation : batch.fieldMutations()) {
      rejectedValues.put(Target.of(mutation), new RejectedValue(mutation.value()));
    }
    suspectAll(batch);
  }

  /** Holds a slice back until its working copy changes. */
  void holdUntilChanged(Slice slice) {
    rejectedVersions.put(slice, slice.version());
  }

  /** Records that a transaction was committed: its changes are above suspicion. */
  void onCommitted(TransactionBatch batch) {
    batch.keyMutations().forEach(mutation -> suspects.invalidate(Target.of(mutation)));
    batch.fieldMutations().forEach(mutation -> suspects.invalidate(Target.of(mutation)));
    batch.slices().forEach(snapshot -> forget(snapshot.slice()));
  }

  /** Forgets a slice. */
  void forget(Slice slice) {
    suspectSlices.remove(slice);
    rejectedVersions.remove(slice);
  }

  /** Forgets all slices but the given ones. */
  void retainSlices(Set<Slice> dirtySlices) {
    suspectSlices.retainAll(dirtySlices);
    rejectedVersions.keySet().retainAll(dirtySlices);
  }

  boolean isSuspect(KeyMutation mutation) {
    return suspects.getIfPresent(Target.of(mutation)) != null;
  }

  boolean isSuspect(FieldMutation mutation) {
    return suspects.getIfPresent(Target.of(mutation)) != null;
  }

  boolean isSuspect(Slice slice) {
    return suspectSlices.contains(slice);
  }

  /** Returns whether there may be a change that has to be committed alone. */
  boolean hasSuspects() {
    return suspects.size() > 0 || !suspectSlices.isEmpty();
  }

  /** Returns whether an equal mutation has been rejected alone. */
  boolean wasRejected(KeyMutation mutation) {
    return wasRejected(Target.of(mutation), mutation.mutation().data());
  }

  /** Returns whether an equal mutation has been rejected alone. */
  boolean wasRejected(FieldMutation mutation) {
    return wasRejected(Target.of(mutation), mutation.value());
  }

  private boolean wasRejected(Target target, Object value) {
    RejectedValue rejected = rejectedValues.getIfPresent(target);
    return rejected != null && Objects.equals(rejected.value(), value);
  }

  /** Returns whether a slice was rejected alone and has not changed since. */
  boolean isHeld(Slice slice) {
    Long version = rejectedVersions.get(slice);
    return version != null && version == slice.version();
  }
}
