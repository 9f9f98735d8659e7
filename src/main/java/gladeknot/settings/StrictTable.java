package gladeknot.settings;

import gladeknot.json.Json;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A table of a feature file. Unknown fields, wrong types and values out of range are faults. A
 * field with a fault reads as its default value, or as an empty text if it is required.
 */
final class StrictTable {
  private static final int MAX_PORT = 65535;
  private static final double MICROS_PER_SECOND = 1e6;

  private final Map<String, Object> fields;
  private final String path;
  private final List<String> faults;
  private final Set<String> known = new HashSet<>();

  /** Creates a table; its faults name each field with the path as a prefix. */
  StrictTable(Map<String, Object> fields, String path, List<String> faults) {
    this.fields = fields;
    this.path = path;
    this.faults = faults;
  }

  /** Returns whether a field is present, and marks its name as known. */
  boolean has(String name) {
    known.add(name);
    return fields.containsKey(name);
  }

  /** Returns a subtable; an empty table if it is absent. */
  StrictTable table(String name) {
    if (has(name) && !(fields.get(name) instanceof Map)) {
      fault(name, "must be a table");
    }
    return new StrictTable(Json.map(fields.get(name)), path + name + ".", faults);
  }

  /** Returns a number from {@code min} to {@code max}; the default value if the field is absent. */
  double number(String name, double defaultValue, double min, double max) {
    if (!has(name)) {
      return defaultValue;
    }
    double value = fields.get(name) instanceof Number n ? n.doubleValue() : Double.NaN;
    if (!(value >= min && value <= max)) {
      fault(name, "must be a number from " + min + " to " + max);
      return defaultValue;
    }
    return value;
  }

  /**
   * Returns a duration, given in seconds, as microseconds; the default value if the field is
   * absent.
   */
  long secondsAsMicros(String name, double defaultSeconds, double minSeconds, double maxSeconds) {
    return Math.round(number(name, defaultSeconds, minSeconds, maxSeconds) * MICROS_PER_SECOND);
  }

  /** Returns a truth value; the default value if the field is absent. */
  boolean flag(String name, boolean defaultValue) {
    if (has(name) && !(fields.get(name) instanceof Boolean)) {
      fault(name, "must be true or false");
      return defaultValue;
    }
    return fields.get(name) instanceof Boolean flag ? flag : defaultValue;
  }

  /** Returns a required text. */
  String text(String name) {
    String value = has(name) ? Json.text(fields, name) : null;
    if (value == null || value.isBlank()) {
      fault(name, "missing, or not a text");
      return "";
    }
    return value;
  }

  /** Returns an address of the form host:port; the default value if the field is absent. */
  String address(String name, String defaultValue) {
    if (!has(name)) {
      return defaultValue;
    }
    String value = Json.text(fields, name);
    if (value == null || !value.matches("[^:\\s]+:[0-9]{1,5}") || port(value) > MAX_PORT) {
      fault(name, "not of the form host:port");
      return defaultValue;
    }
    return value;
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  /** Adds a fault for a field. */
  void fault(String name, String description) {
    faults.add(path + name + ": " + description);
  }

  /** Adds a fault for each field that has not been read. */
  void rejectUnknown() {
    for (String name : fields.keySet()) {
      if (!known.contains(name)) {
        fault(name, "unknown field");
      }
    }
  }
}
