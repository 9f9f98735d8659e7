package gladeknot.commit;

import gladeknot.tasks.Slice;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** Holds the changes to be committed: dirty slices, key mutations and field mutations. */
final class PendingChanges {
  private final Set<Slice> dirty = new LinkedHashSet<>();
  private final ArrayDeque<KeyMutation> keyMutations = new ArrayDeque<>();
  private final ArrayDeque<FieldMutation> fieldMutations = new ArrayDeque<>();

  boolean isEmpty() {
    return dirty.isEmpty() && keyMutations.isEmpty() && fieldMutations.isEmpty();
  }

  /** Marks a slice as dirty, because its working copy has changed. */
  void markDirty(Slice slice, long nowMicros) {
    slice.markDirty(nowMicros);
    dirty.add(slice);
  }

  boolean isDirty(Slice slice) {
    return dirty.contains(slice);
  }

  /** Removes a slice that has nothing left to commit. */
  void remove(Slice slice) {
    dirty.remove(slice);
  }

  /** Removes all dirty slices that match a condition. */
  void removeIf(Predicate<Slice> condition) {
    dirty.removeIf(condition);
  }

  /** Returns the dirty slices in the order in which they became dirty; must not be modified. */
  Set<Slice> dirtySlices() {
    return dirty;
  }

  /** Returns a copy of the dirty slices, for loops that reload slices. */
  List<Slice> copyDirtySlices() {
    return List.copyOf(dirty);
  }

  void submit(KeyMutation mutation) {
    keyMutations.add(mutation);
  }

  void submit(FieldMutation mutation) {
    fieldMutations.add(mutation);
  }

  int keyMutationCount() {
    return keyMutations.size();
  }

  int fieldMutationCount() {
    return fieldMutations.size();
  }

  /** Removes and returns the first key mutation of the queue; at least one must be pending. */
  KeyMutation takeKeyMutation() {
    return keyMutations.remove();
  }

  /** Removes and returns the first field mutation of the queue; at least one must be pending. */
  FieldMutation takeFieldMutation() {
    return fieldMutations.remove();
  }

  /** Puts the mutations of an unsent batch at the front of the queues, in reverse order. */
  void putBack(TransactionBatch batch) {
    batch.keyMutations().forEach(keyMutations::addFirst);
    batch.fieldMutations().forEach(fieldMutations::addFirst);
  }

  /** Appends the mutations of an uncommitted batch to the queues. */
  void resubmit(TransactionBatch batch) {
    keyMutations.addAll(batch.keyMutations());
    resubmitFieldMutations(batch);
  }

  /** Appends the field mutations of an uncommitted batch to their queue. */
  void resubmitFieldMutations(TransactionBatch batch) {
    fieldMutations.addAll(batch.fieldMutations());
  }
}
