package gladeknot.settings;

import gladeknot.json.Json;
import gladeknot.json.ResourceUnits;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A table of the platform's settings file. A required field that is missing or malformed adds a
 * fault, and its placeholder value is harmless. Unknown fields are ignored, since the platform may
 * add some.
 */
final class SettingsTable {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLI = 1000;

  /** Maximum for limits, so that sizes in bytes and counts fit an int. */
  private static final double MAX_LIMIT = 1_000_000;

  private final Map<String, Object> fields;
  private final String path;
  private final List<String> faults;

  /** Creates a table; its faults name each field with the path as a prefix. */
  SettingsTable(Map<String, Object> fields, String path, List<String> faults) {
    this.fields = fields;
    this.path = path;
    this.faults = faults;
  }

  boolean has(String name) {
    return fields.containsKey(name);
  }

  /** Returns a required subtable; if it is missing, adds a fault and returns an empty table. */
  SettingsTable table(String name) {
    if (!(fields.get(name) instanceof Map)) {
      fault(name, "missing table");
    }
    return optionalTable(name);
  }

  /** Returns an optional subtable; an empty table if it is absent. */
  SettingsTable optionalTable(String name) {
    return new SettingsTable(Json.map(fields.get(name)), path + name + ".", faults);
  }

  /** Returns the tables of an array field; empty if the field is absent. */
  List<SettingsTable> tables(String name) {
    List<SettingsTable> tables = new ArrayList<>();
    for (Map<String, Object> element : Json.objects(fields, name)) {
      String elementPath = path + name + "[" + tables.size() + "].";
      tables.add(new SettingsTable(element, elementPath, faults));
    }
    return tables;
  }

  /** Returns this table with default values for the fields that it lacks. */
  SettingsTable withDefaults(Map<String, Object> defaults) {
    Map<String, Object> merged = new LinkedHashMap<>(defaults);
    merged.putAll(fields);
    return new SettingsTable(merged, path, faults);
  }

  /** Returns a required text. */
  String text(String name) {
    String value = optionalText(name);
    if (value == null || value.isEmpty()) {
      fault(name, "missing, or not a text");
      return "";
    }
    return value;
  }

  /** Returns an optional text; null if the field is absent or not a text. */
  String optionalText(String name) {
    return Json.text(fields, name);
  }

  /** Returns a list of texts; empty if the field is absent. */
  List<String> texts(String name) {
    return Json.texts(fields, name);
  }

  /** Returns a required address of the form host:port. */
  String address(String name) {
    String value = text(name);
    if (!value.isEmpty() && !value.matches("[^:]+:[0-9]{1,5}")) {
      fault(name, "not of the form host:port");
    }
    return value;
  }

  /** Returns a required number above 0. */
  double positive(String name) {
    double value = optionalNumber(name, Double.NaN);
    if (!(value > 0) || Double.isInfinite(value)) {
      fault(name, "must be a number above 0");
      return 1;
    }
    return value;
  }

  /** Returns a required number between a minimum and {@link #MAX_LIMIT}. */
  double atLeast(String name, double min) {
    double value = optionalNumber(name, Double.NaN);
    if (!(value >= min) || value > MAX_LIMIT) {
      fault(name, "must be a number of " + min + " or more");
      return min;
    }
    return value;
  }

  /** Returns an optional number; the default value if the field is absent. */
  double optionalNumber(String name, double defaultValue) {
    return Json.doubleValue(fields, name, defaultValue);
  }

  /**
   * Returns an optional whole number, with any fraction cut off; the default value if the field is
   * absent.
   */
  int optionalInt(String name, int defaultValue) {
    return (int) Json.longValue(fields, name, defaultValue);
  }

  /** Returns a required duration above 0, given in seconds, as microseconds. */
  long secondsAsMicros(String name) {
    return (long) (positive(name) * MICROS_PER_SECOND);
  }

  /** Returns an optional duration, given in seconds, as microseconds; 0 if absent. */
  long optionalSecondsAsMicros(String name) {
    return (long) (optionalNumber(name, 0) * MICROS_PER_SECOND);
  }

  /** Returns an optional duration, given in milliseconds, as microseconds; 0 if absent. */
  long optionalMillisAsMicros(String name) {
    return (long) (optionalNumber(name, 0) * MICROS_PER_MILLI);
  }

  /** Returns a required amount of 0 or more, in billionths, rounded down. */
  long resources(String name) {
    BigDecimal value = Json.decimal(fields, name);
    if (value == null || value.signum() < 0) {
      fault(name, "must be a number, 0 or more");
      return 0;
    }
    return ResourceUnits.available(value);
  }

  /**
   * Returns a required limit of 0 or more, in billionths, rounded down. Only a limit of 0 is
   * returned as 0, which means that there is none.
   */
  long resourceLimit(String name) {
    long units = resources(name);
    BigDecimal value = Json.decimal(fields, name);
    return value != null && value.signum() > 0 ? Math.max(1, units) : units;
  }

  void fault(String name, String description) {
    faults.add(path + name + ": " + description);
  }
}
