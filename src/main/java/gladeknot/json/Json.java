package gladeknot.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as plain maps and lists. */
public final class Json {
  /** Maximum nesting of objects and lists; no message of the protocols has more than a few. */
  private static final int MAX_NESTING_DEPTH = 32;

  /** Reads numbers with a fraction exactly: amounts must not be rounded. */
  private static final JSON JR =
      JSON.builder(jsonFactory()).enable(JSON.Feature.USE_BIG_DECIMAL_FOR_FLOATS).build();

  private Json() {}

  /** Limits the nesting: the parser is recursive, and deeper text would exhaust the stack. */
  private static JsonFactory jsonFactory() {
    StreamReadConstraints constraints =
        StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build();
    return JsonFactory.builder().streamReadConstraints(constraints).build();
  }

  /**
   * Parses a JSON value.
   *
   * @throws IOException if the text is not JSON, or nested too deeply
   */
  public static Object parse(byte[] bytes) throws IOException {
    return JR.anyFrom(bytes);
  }

  /**
   * Parses a JSON object.
   *
   * @throws IOException if the text is empty, not JSON or not an object
   */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> object(byte[] bytes) throws IOException {
    Object value = bytes.length == 0 ? null : parse(bytes);
    if (value instanceof Map) {
      return (Map<String, Object>) value;
    }
    throw new IOException("not a JSON object");
  }

  /** Encodes a value as JSON text in UTF-8. */
  public static byte[] bytes(Object value) {
    try {
      return JR.asBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns a map of alternating names and values, which keeps their order. */
  public static Map<String, Object> of(Object... namesAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }

  /** Returns the string under a name, or null if there is no value or the value is not a string. */
  public static String text(Map<String, Object> map, String name) {
    return map.get(name) instanceof String text ? text : null;
  }

  /**
   * Returns the number under a name, truncated to an integer, or {@code defaultValue} if there is
   * no number.
   */
  public static long longValue(Map<String, Object> map, String name, long defaultValue) {
    Object value = map.get(name);
    if (value instanceof BigDecimal decimal) {
      return (long) decimal.doubleValue();
    }
    return value instanceof Number number ? number.longValue() : defaultValue;
  }

  /** Returns the exact number under a name, or null if there is no finite number. */
  public static BigDecimal decimal(Map<String, Object> map, String name) {
    Object value = map.get(name);
    if (value instanceof BigDecimal decimal) {
      return decimal;
    }
    if (value instanceof BigInteger integer) {
      return new BigDecimal(integer);
    }
    if (value instanceof Integer || value instanceof Long) {
      return BigDecimal.valueOf(((Number) value).longValue());
    }
    boolean finite = value instanceof Double number && Double.isFinite(number);
    return finite ? BigDecimal.valueOf((Double) value) : null;
  }

  /** Returns the number under a name, or {@code defaultValue} if there is no number. */
  public static double doubleValue(Map<String, Object> map, String name, double defaultValue) {
    return map.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
  }

  /** Returns whether the value under a name is {@code true}. */
  public static boolean flag(Map<String, Object> map, String name) {
    return Boolean.TRUE.equals(map.get(name));
  }

  /** Returns a value as an object, or an empty map if it is not an object. */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> map(Object value) {
    return value instanceof Map ? (Map<String, Object>) value : Map.of();
  }

  /** Returns the objects in the list under a name. Elements that are not objects are left out. */
  @SuppressWarnings("unchecked")
  public static List<Map<String, Object>> objects(Map<String, Object> map, String name) {
    if (!(map.get(name) instanceof List<?> list)) {
      return List.of();
    }
    return (List<Map<String, Object>>)
        (List<?>) list.stream().filter(Map.class::isInstance).toList();
  }

  /** Returns the strings in the list under a name. Elements that are not strings are left out. */
  public static List<String> texts(Map<String, Object> map, String name) {
    if (!(map.get(name) instanceof List<?> list)) {
      return List.of();
    }
    return list.stream().filter(String.class::isInstance).map(String.class::cast).toList();
  }
}
