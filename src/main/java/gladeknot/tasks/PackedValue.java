package gladeknot.tasks;

import gladeknot.state.Entry;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The value of a key that packs many text fields: a segment with the records of many slices by job,
 * or a group of machines with their records. Two values count as the same if they are views of the
 * same map instance; this is sufficient because values in the watch cache are never changed in
 * place.
 */
public final class PackedValue {
  /** The value of a key that does not exist. */
  public static final PackedValue EMPTY = new PackedValue(Map.of());

  /** Size of the quotes, colon and comma of a field as JSON. */
  private static final int FIELD_OVERHEAD_BYTES = 6;

  private static final int UNKNOWN = -1;

  private final Map<String, Object> fields;
  private int encodedBytes = UNKNOWN;

  private PackedValue(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** Returns a view of the fields of a key; the map must not be changed afterwards. */
  public static PackedValue of(Map<String, Object> fields) {
    return new PackedValue(fields);
  }

  /** Returns a view of an entry of the state service, or {@link #EMPTY} if the entry is null. */
  public static PackedValue of(Entry entry) {
    return entry == null ? EMPTY : new PackedValue(entry.data());
  }

  /** Returns the text of a field, or null if there is no such field. */
  public String get(String field) {
    return (String) fields.get(field);
  }

  /** Returns whether there is such a field. */
  public boolean contains(String field) {
    return fields.containsKey(field);
  }

  /** Returns the names of the fields; the caller must not change the set. */
  public Set<String> fieldNames() {
    return fields.keySet();
  }

  /** Returns a copy of the fields that the caller may change. */
  public Map<String, Object> copyFields() {
    return new HashMap<>(fields);
  }

  /** Returns the approximate size of the value as JSON, in bytes. */
  public int encodedBytes() {
    if (encodedBytes == UNKNOWN) {
      encodedBytes = encodedBytes(fields);
    }
    return encodedBytes;
  }

  /** Returns the approximate size of fields as JSON, in bytes. */
  public static int encodedBytes(Map<String, Object> fields) {
    int sum = 0;
    for (Map.Entry<String, Object> field : fields.entrySet()) {
      sum += encodedBytes(field.getKey(), (String) field.getValue());
    }
    return sum;
  }

  /** Returns the approximate size of one field as JSON, in bytes. */
  public static int encodedBytes(String field, String text) {
    return field.length() + text.length() + FIELD_OVERHEAD_BYTES;
  }

  boolean isViewOf(Map<String, Object> otherFields) {
    return fields == otherFields;
  }

  boolean isSameAs(PackedValue other) {
    return fields == other.fields;
  }
}
