package gladeknot.commit;

import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.SegmentLayout;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One transaction of a {@link TransactionCommitter} as it is put together: what it changes, on
 * which stamps that was decided, and who is to hear of its outcome.
 */
final class TransactionBatch {
  /** What an object takes besides its fields. */
  private static final int BRACES = 2;

  /** A slice as it went into a transaction, and the keys that it relied on. */
  record SliceSnapshot(
      Slice slice,
      String key,
      long version,
      BitSet done,
      List<Attempt> live,
      List<Attempt> closed,
      Map<Slice, BitSet> claims,
      Set<String> keys) {}

  final List<SliceSnapshot> slices = new ArrayList<>();
  final List<KeyMutation> keyMutations = new ArrayList<>();
  final List<FieldMutation> fieldMutations = new ArrayList<>();
  final List<Mutation> whole = new ArrayList<>();

  /** Keys of many fields, as they are to be; empty ones are deleted. */
  final Map<String, Map<String, Object>> segments = new LinkedHashMap<>();

  final Map<String, Long> conditions = new LinkedHashMap<>();
  private final StateStore stateStore;
  private final SliceRegistry registry;
  private int bytes;

  TransactionBatch(StateStore stateStore, SliceRegistry registry) {
    this.stateStore = stateStore;
    this.registry = registry;
  }

  int operations() {
    return whole.size() + segments.size();
  }

  /** About how many bytes its values take. */
  int bytes() {
    return bytes;
  }

  List<Mutation> writes() {
    List<Mutation> writes = new ArrayList<>(whole);
    segments.forEach(
        (key, data) -> writes.add(data.isEmpty() ? Mutation.delete(key) : Mutation.put(key, data)));
    return writes;
  }

  /** Makes it conditional on a key's present stamp. */
  void condition(String key) {
    conditions.put(key, stateStore.modRevision(key));
  }

  /** Changes one field of a packed key; null takes it away. */
  void put(String key, String field, String value) {
    Map<String, Object> data = segments.get(key);
    if (data == null) {
      data = new HashMap<>(registry.segment(key));
      segments.put(key, data);
      condition(key);
      bytes += registry.bytes(key);
    }
    if (value == null) {
      data.remove(field);
    } else {
      data.put(field, value);
      bytes += value.length() + field.length();
    }
  }

  /** How many bytes a part takes with what is changed here. */
  int partBytes(String key) {
    Map<String, Object> data = segments.get(key);
    return data == null ? registry.bytes(key) : SliceRegistry.bytes(data);
  }

  /** The parts of records that are larger than the service takes. */
  List<String> tooLarge(int mostBytes) {
    List<String> keys = new ArrayList<>();
    for (String key : segments.keySet()) {
      if (key.startsWith(SegmentLayout.KEY_PREFIX) && partBytes(key) + BRACES > mostBytes) {
        keys.add(key);
      }
    }
    return keys;
  }
}
