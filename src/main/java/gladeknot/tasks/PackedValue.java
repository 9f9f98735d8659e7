package gladeknot.tasks;

import gladeknot.state.Entry;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The value of a key that packs many text fields: a segment with the records of many slices by job,
 * or a group of machines with their records. Two values are the same here if they are views of one
 * and the same map; what the state store's copy holds is never changed in place.
 */
public final class PackedValue {
  /** The value of a key that does not exist. */
  public static final PackedValue EMPTY = new PackedValue(Map.of());

  /** Quotes, colon and comma of a field as JSON. */
  private static final int FIELD_OVERHEAD_BYTES = 6;

  private static final int UNKNOWN = -1;

  private final Map<String, Object> fields;
  private int encodedBytes = UNKNOWN;

  private PackedValue(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** A view of the fields of a key, which must not be changed any more. */
  public static PackedValue of(Map<String, Object> fields) {
    return new PackedValue(fields);
  }

  /** A view of an entry of the state store; {@link #EMPTY} if the entry is null. */
  public static PackedValue of(Entry entry) {
    return entry == null ? EMPTY : new PackedValue(entry.data());
  }

  /** The text of a field; null if there is no such field. */
  public String get(String field) {
    return (String) fields.get(field);
  }

  /** Whether there is such a field. */
  public boolean contains(String field) {
    return fields.containsKey(field);
  }

  /** The names of the fields; not to be changed. */
  public Set<String> fieldNames() {
    return fields.keySet();
  }

  /** The fields as a map that may be changed. */
  public Map<String, Object> copyFields() {
    return new HashMap<>(fields);
  }

  /** About how many bytes the value takes as JSON. */
  public int encodedBytes() {
    if (encodedBytes == UNKNOWN) {
      encodedBytes = encodedBytes(fields);
    }
    return encodedBytes;
  }

  /** About how many bytes fields take as JSON. */
  public static int encodedBytes(Map<String, Object> fields) {
    int sum = 0;
    for (Map.Entry<String, Object> field : fields.entrySet()) {
      sum += encodedBytes(field.getKey(), (String) field.getValue());
    }
    return sum;
  }

  /** About how many bytes one field takes as JSON. */
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
