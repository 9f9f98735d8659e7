package gladeknot.commit;

import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import gladeknot.tasks.PackedValue;
import gladeknot.tasks.SegmentIndex;
import gladeknot.tasks.SegmentLayout;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The contents of one transaction: key mutations, new values of packed keys, preconditions, and the
 * slices and mutations whose changes the transaction contains.
 *
 * <p>The builders of this package fill a batch. After it has been sent, the batch does not change.
 */
final class TransactionBatch {
  /** Size of the braces of a JSON object, in bytes. */
  private static final int OBJECT_OVERHEAD_BYTES = 2;

  private final StateStore stateStore;
  private final SegmentIndex segments;
  private final List<SliceSnapshot> slices = new ArrayList<>();
  private final List<KeyMutation> keyMutations = new ArrayList<>();
  private final List<FieldMutation> fieldMutations = new ArrayList<>();

  /** The new fields of packed keys. A key without fields is deleted. */
  private final Map<String, Map<String, Object>> packedValues = new LinkedHashMap<>();

  /** The revision that each key must have; 0 if the key must not exist. */
  private final Map<String, Long> preconditions = new LinkedHashMap<>();

  private int bytes;
  private boolean awaitingTokens;

  TransactionBatch(StateStore stateStore, SegmentIndex segments) {
    this.stateStore = stateStore;
    this.segments = segments;
  }

  List<SliceSnapshot> slices() {
    return slices;
  }

  List<KeyMutation> keyMutations() {
    return keyMutations;
  }

  List<FieldMutation> fieldMutations() {
    return fieldMutations;
  }

  /** Returns the new fields of packed keys. A key without fields is deleted. */
  Map<String, Map<String, Object>> packedValues() {
    return packedValues;
  }

  /** Returns the keys that the transaction writes. */
  List<String> keys() {
    return operations().stream().map(Mutation::key).toList();
  }

  Set<String> packedKeys() {
    return packedValues.keySet();
  }

  Map<String, Long> preconditions() {
    return preconditions;
  }

  int operationCount() {
    return keyMutations.size() + packedValues.size();
  }

  boolean isEmpty() {
    return operationCount() == 0;
  }

  /** Returns whether the batch contains the changes of one slice or one mutation only. */
  boolean hasSingleChange() {
    return slices.size() + keyMutations.size() + fieldMutations.size() == 1;
  }

  /** Returns the approximate size of the batch's packed values, in bytes. */
  int bytes() {
    return bytes;
  }

  /** Returns whether the batch is empty because its changes have to wait for write tokens. */
  boolean awaitsTokens() {
    return awaitingTokens;
  }

  /** Records that the batch is empty because its changes have to wait for write tokens. */
  void markAwaitingTokens() {
    awaitingTokens = true;
  }

  /** Returns whether the batch changes a packed key. */
  boolean writes(String packedKey) {
    return packedValues.containsKey(packedKey);
  }

  /** Returns all operations, key mutations before packed keys, each in the order of addition. */
  List<Mutation> operations() {
    List<Mutation> operations = new ArrayList<>(operationCount());
    for (KeyMutation keyMutation : keyMutations) {
      operations.add(keyMutation.mutation());
    }
    packedValues.forEach(
        (key, fields) ->
            operations.add(fields.isEmpty() ? Mutation.delete(key) : Mutation.put(key, fields)));
    return operations;
  }

  /** Makes the transaction conditional on a key's current revision. */
  void requireCurrent(String key) {
    preconditions.put(key, stateStore.modRevision(key));
  }

  /** Makes the transaction conditional on a given revision of a key. */
  void require(String key, long revision) {
    preconditions.put(key, revision);
  }

  /** Makes the transaction conditional on the earliest of the revisions given for a key. */
  void requireEarliest(String key, long revision) {
    preconditions.merge(key, revision, Math::min);
  }

  /** Returns whether the transaction is conditional on any of the given keys. */
  boolean requiresAny(Set<String> keys) {
    for (String key : keys) {
      if (preconditions.containsKey(key)) {
        return true;
      }
    }
    return false;
  }

  /** Adds a key mutation with its preconditions. */
  void add(KeyMutation mutation) {
    keyMutations.add(mutation);
    preconditions.putAll(mutation.preconditions());
  }

  /** Adds a field mutation. */
  void add(FieldMutation mutation) {
    put(mutation.key(), mutation.field(), mutation.value());
    fieldMutations.add(mutation);
  }

  /** Adds the snapshot of a slice whose record and claims are already in the batch. */
  void add(SliceSnapshot slice) {
    slices.add(slice);
  }

  /**
   * Sets a field of a packed key; a null value removes the field. The transaction becomes
   * conditional on the key's current revision.
   */
  void put(String key, String field, String value) {
    Map<String, Object> fields = packedValues.get(key);
    if (fields == null) {
      PackedValue current = segments.value(key);
      fields = current.copyFields();
      packedValues.put(key, fields);
      requireCurrent(key);
      bytes += current.encodedBytes();
    }
    if (value == null) {
      fields.remove(field);
    } else {
      fields.put(field, value);
      bytes += value.length() + field.length();
    }
  }

  /**
   * Returns the value of a packed key's field after the transaction; null if the field is absent.
   */
  String fieldAfter(String key, String field) {
    Map<String, Object> fields = packedValues.get(key);
    return fields == null ? segments.value(key).get(field) : (String) fields.get(field);
  }

  /** Returns the approximate size of a packed key's value after the transaction, in bytes. */
  int bytesAfter(String key) {
    Map<String, Object> fields = packedValues.get(key);
    return fields == null ? segments.value(key).encodedBytes() : PackedValue.encodedBytes(fields);
  }

  /** Returns the keys of the segments whose values would exceed a size. */
  List<String> segmentsLargerThan(int maxBytes) {
    List<String> keys = new ArrayList<>();
    for (String key : packedValues.keySet()) {
      boolean isSegment = key.startsWith(SegmentLayout.KEY_PREFIX);
      if (isSegment && bytesAfter(key) + OBJECT_OVERHEAD_BYTES > maxBytes) {
        keys.add(key);
      }
    }
    return keys;
  }

  /** Removes a segment and the slices that depend on it. */
  void removeSegment(String key, List<SliceSnapshot> dependents) {
    packedValues.remove(key);
    preconditions.remove(key);
    slices.removeAll(dependents);
  }

  /** Removes all slices and packed values. */
  void removeSlices() {
    packedValues.clear();
    slices.clear();
  }
}
