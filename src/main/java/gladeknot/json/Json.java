package gladeknot.json;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as plain maps and lists. */
public final class Json {
  private static final JSON JR = JSON.std;

  private Json() {}

  /** Parses a JSON value; fails with IOException when the text is not JSON. */
  public static Object parse(byte[] bytes) throws IOException {
    return JR.anyFrom(bytes);
  }

  /** Parses an object; an empty or other value fails with IOException. */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> object(byte[] bytes) throws IOException {
    Object value = bytes.length == 0 ? null : parse(bytes);
    if (value instanceof Map) {
      return (Map<String, Object>) value;
    }
    throw new IOException("not a JSON object");
  }

  /** Writes a value as JSON text in UTF-8. */
  public static byte[] bytes(Object value) {
    try {
      return JR.asBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** A map from alternating names and values, in that order. */
  public static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  /** The text under a name; null if there is none, or another value. */
  public static String text(Map<String, Object> map, String name) {
    return map.get(name) instanceof String text ? text : null;
  }

  /** The number under a name, cut off to a whole one; {@code absent} if there is none. */
  public static long num(Map<String, Object> map, String name, long absent) {
    return map.get(name) instanceof Number number ? number.longValue() : absent;
  }

  /** The number under a name; {@code absent} if there is none. */
  public static double real(Map<String, Object> map, String name, double absent) {
    return map.get(name) instanceof Number number ? number.doubleValue() : absent;
  }

  /** Whether {@code true} is under a name. */
  public static boolean flag(Map<String, Object> map, String name) {
    return Boolean.TRUE.equals(map.get(name));
  }

  /** A value as an object; empty if it is none. */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> map(Object value) {
    return value instanceof Map ? (Map<String, Object>) value : Map.of();
  }

  /** The list of objects under a name; anything else in it is left out. */
  @SuppressWarnings("unchecked")
  public static List<Map<String, Object>> objects(Map<String, Object> map, String name) {
    if (!(map.get(name) instanceof List<?> list)) {
      return List.of();
    }
    return (List<Map<String, Object>>)
        (List<?>) list.stream().filter(Map.class::isInstance).toList();
  }

  /** The list of texts under a name; anything else in it is left out. */
  public static List<String> texts(Map<String, Object> map, String name) {
    if (!(map.get(name) instanceof List<?> list)) {
      return List.of();
    }
    return list.stream().filter(String.class::isInstance).map(String.class::cast).toList();
  }
}
