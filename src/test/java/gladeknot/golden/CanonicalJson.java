package gladeknot.golden;

import gladeknot.json.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Converts JSON to text that does not depend on the order of fields. The order of lists counts,
 * except for the conditions of a transaction, which are a set. Numbers keep their form: 1 and 1.0
 * differ.
 */
final class CanonicalJson {
  private static final String CONDITIONS = "if";

  /** Field of a condition's revision, which depends on the number of earlier transactions. */
  private static final String REVISION = "stamp";

  private CanonicalJson() {}

  /** Returns a body as text; a body that is empty or not JSON is marked as such. */
  static String of(byte[] body) {
    if (body.length == 0) {
      return "(empty)";
    }
    try {
      return of(Json.parse(body));
    } catch (IOException e) {
      return "(not JSON) " + new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Returns a JSON value as text. */
  static String of(Object value) {
    return text("", value);
  }

  private static String text(String field, Object value) {
    if (value instanceof Map<?, ?> map) {
      Map<String, String> sorted = new TreeMap<>();
      map.forEach((name, inner) -> sorted.put((String) name, text((String) name, inner)));
      List<String> fields = new ArrayList<>();
      sorted.forEach((name, inner) -> fields.add(quoted(name) + ":" + inner));
      return "{" + String.join(",", fields) + "}";
    }
    if (value instanceof List<?> list) {
      List<String> texts = new ArrayList<>();
      for (Object inner : list) {
        texts.add(field.equals(CONDITIONS) ? condition(inner) : text("", inner));
      }
      if (field.equals(CONDITIONS)) {
        texts.sort(null);
      }
      return "[" + String.join(",", texts) + "]";
    }
    return value instanceof String string ? quoted(string) : String.valueOf(value);
  }

  /**
   * Returns a condition as text, without the number of a revision: only whether the key has to be
   * absent or present counts.
   */
  private static String condition(Object value) {
    Map<String, Object> masked = new TreeMap<>(Json.map(value));
    Object revision = masked.get(REVISION);
    boolean isRevision = revision instanceof Integer || revision instanceof Long;
    if (isRevision && ((Number) revision).longValue() > 0) {
      masked.put(REVISION, "some revision");
    }
    return text("", masked);
  }

  private static String quoted(String text) {
    return new String(Json.bytes(text), StandardCharsets.UTF_8);
  }
}
