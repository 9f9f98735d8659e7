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
 * The contents of one transaction: the changes of whole keys, the new values of packed keys, the
 * revisions that all this was decided on, and the slices and mutations whose changes it contains.
 *
 * <p>It is filled by the builders of this package and not changed any more once it is sent.
 */
final class TransactionBatch {
  /** The braces of an object as JSON. */
  private static final int OBJECT_OVERHEAD_BYTES = 2;

  private final StateStore stateStore;
  private final SegmentIndex segments;
  private final List<SliceSnapshot> slices = new ArrayList<>();
  private final List<KeyMutation> keyMutations = new ArrayList<>();
  private final List<FieldMutation> fieldMutations = new ArrayList<>();

  /** The new fields of packed keys; a key whose fields are empty is deleted. */
  private final Map<String, Map<String, Object>> packedValues = new LinkedHashMap<>();

  /** The revisions that the transaction is conditional on, by key; 0 if the key must not exist. */
  private final Map<String, Long> conditions = new LinkedHashMap<>();

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

  /** The new fields of packed keys; empty ones are deleted. */
  Map<String, Map<String, Object>> packedValues() {
    return packedValues;
  }

  Set<String> packedKeys() {
    return packedValues.keySet();
  }

  Map<String, Long> conditions() {
    return conditions;
  }

  int operationCount() {
    return keyMutations.size() + packedValues.size();
  }

  boolean isEmpty() {
    return operationCount() == 0;
  }

  /** About how many bytes its packed values take. */
  int bytes() {
    return bytes;
  }

  /** Whether it is empty because what should be in it has to wait for write tokens. */
  boolean awaitsTokens() {
    return awaitingTokens;
  }

  /** It is empty because what should be in it has to wait for write tokens. */
  void markAwaitingTokens() {
    awaitingTokens = true;
  }

  /** Whether it changes a packed key. */
  boolean writes(String packedKey) {
    return packedValues.containsKey(packedKey);
  }

  /** All its operations: first the whole keys, then the packed ones, each as they were added. */
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

  /** Makes it conditional on a key's present revision. */
  void requireCurrent(String key) {
    conditions.put(key, stateStore.modRevision(key));
  }

  /** Makes it conditional on a key's given revision. */
  void require(String key, long revision) {
    conditions.put(key, revision);
  }

  /** Makes it conditional on a key's given revision, or on an earlier one if it is already. */
  void requireEarliest(String key, long revision) {
    conditions.merge(key, revision, Math::min);
  }

  /** Whether it is conditional on one of some keys. */
  boolean requiresAny(Set<String> keys) {
    for (String key : keys) {
      if (conditions.containsKey(key)) {
        return true;
      }
    }
    return false;
  }

  /** Adds a change of a whole key with its conditions. */
  void add(KeyMutation mutation) {
    keyMutations.add(mutation);
    conditions.putAll(mutation.conditions());
  }

  /** Adds a change of a field of a packed key. */
  void add(FieldMutation mutation) {
    put(mutation.key(), mutation.field(), mutation.value());
    fieldMutations.add(mutation);
  }

  /** Adds a slice whose record and claims have been put into it. */
  void add(SliceSnapshot slice) {
    slices.add(slice);
  }

  /** Changes a field of a packed key, on condition of that key's revision; null removes it. */
  void put(String key, String field, String value) {
    Map<String, Object> fields = packedValues.get(key);
    if (fields == null) {
      PackedValue present = segments.value(key);
      fields = present.copyFields();
      packedValues.put(key, fields);
      requireCurrent(key);
      bytes += present.encodedBytes();
    }
    if (value == null) {
      fields.remove(field);
    } else {
      fields.put(field, value);
      bytes += value.length() + field.length();
    }
  }

  /** The text of a packed key's field as it will be; null if there will be none. */
  String fieldAfter(String key, String field) {
    Map<String, Object> fields = packedValues.get(key);
    return fields == null ? segments.value(key).get(field) : (String) fields.get(field);
  }

  /** About how many bytes a packed key's value will take. */
  int bytesAfter(String key) {
    Map<String, Object> fields = packedValues.get(key);
    return fields == null ? segments.value(key).encodedBytes() : PackedValue.encodedBytes(fields);
  }

  /** The segments whose values would exceed a size. */
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

  /** Takes out a segment and the slices that rely on it. */
  void removeSegment(String key, List<SliceSnapshot> relying) {
    packedValues.remove(key);
    conditions.remove(key);
    slices.removeAll(relying);
  }

  /** Takes out all slices and packed values. */
  void removeSlices() {
    packedValues.clear();
    slices.clear();
  }
}
