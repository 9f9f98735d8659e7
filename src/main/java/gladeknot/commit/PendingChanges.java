package gladeknot.commit;

import gladeknot.tasks.Slice;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/** What waits to be committed: dirty slices, changes of whole keys, changes of fields. */
final class PendingChanges {
  private final Set<Slice> dirty = new LinkedHashSet<>();
  private final ArrayDeque<KeyMutation> keyMutations = new ArrayDeque<>();
  private final ArrayDeque<FieldMutation> fieldMutations = new ArrayDeque<>();

  boolean isEmpty() {
    return dirty.isEmpty() && keyMutations.isEmpty() && fieldMutations.isEmpty();
  }

  /** A slice's working copy has changed. */
  void markDirty(Slice slice, long nowMicros) {
    slice.markDirty(nowMicros);
    dirty.add(slice);
  }

  boolean isDirty(Slice slice) {
    return dirty.contains(slice);
  }

  /** A slice has nothing to commit any more. */
  void remove(Slice slice) {
    dirty.remove(slice);
  }

  /** Some slices have nothing to commit any more. */
  void removeIf(Predicate<Slice> condition) {
    dirty.removeIf(condition);
  }

  /** The dirty slices in the order in which they became so; not to be changed. */
  Set<Slice> dirtySlices() {
    return dirty;
  }

  /** A copy of the dirty slices, for loops that reload some of them. */
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

  /** Takes the change of a whole key that has waited longest; there must be one. */
  KeyMutation takeKeyMutation() {
    return keyMutations.remove();
  }

  /** Takes the change of a field that has waited longest; there must be one. */
  FieldMutation takeFieldMutation() {
    return fieldMutations.remove();
  }

  /** The mutations of a batch that was not sent are the next ones again, in reverse order. */
  void putBack(TransactionBatch batch) {
    batch.keyMutations().forEach(keyMutations::addFirst);
    batch.fieldMutations().forEach(fieldMutations::addFirst);
  }

  /** The mutations of a batch that was not committed wait again, behind all others. */
  void resubmit(TransactionBatch batch) {
    keyMutations.addAll(batch.keyMutations());
    resubmitFieldMutations(batch);
  }

  /** The field mutations of a batch that was not committed wait again, behind all others. */
  void resubmitFieldMutations(TransactionBatch batch) {
    fieldMutations.addAll(batch.fieldMutations());
  }
}
