package gladeknot.settings;

import gladeknot.json.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A table of the platform's settings file. Missing and malformed fields that are required become
 * faults and read as a harmless value; fields that nobody asks for are ignored, since the platform
 * may add some.
 */
final class SettingsTable {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double MICROS_PER_MILLISECOND = 1000;
  private static final double THOUSANDTHS = 1000;

  /** So that bytes and counts fit an int. */
  private static final double MAX_LIMIT = 1_000_000;

  private final Map<String, Object> fields;
  private final String path;
  private final List<String> faults;

  /** A table whose fields are named with the path before them in the faults. */
  SettingsTable(Map<String, Object> fields, String path, List<String> faults) {
    this.fields = fields;
    this.path = path;
    this.faults = faults;
  }

  boolean has(String name) {
    return fields.containsKey(name);
  }

  /** A required table in this one; empty if it is absent. */
  SettingsTable table(String name) {
    if (!(fields.get(name) instanceof Map)) {
      fault(name, "missing table");
    }
    return optionalTable(name);
  }

  /** A table in this one that may be absent, and then is empty. */
  SettingsTable optionalTable(String name) {
    return new SettingsTable(Json.map(fields.get(name)), path + name + ".", faults);
  }

  /** The tables of an array in this one; empty if it is absent. */
  List<SettingsTable> tables(String name) {
    List<SettingsTable> tables = new ArrayList<>();
    for (Map<String, Object> element : Json.objects(fields, name)) {
      String elementPath = path + name + "[" + tables.size() + "].";
      tables.add(new SettingsTable(element, elementPath, faults));
    }
    return tables;
  }

  /** The same table with values in place of the fields that it does not have. */
  SettingsTable withDefaults(Map<String, Object> defaults) {
    Map<String, Object> merged = new LinkedHashMap<>(defaults);
    merged.putAll(fields);
    return new SettingsTable(merged, path, faults);
  }

  /** A required text. */
  String text(String name) {
    String value = optionalText(name);
    if (value == null || value.isEmpty()) {
      fault(name, "missing, or not a text");
      return "";
    }
    return value;
  }

  /** A text that may be absent; null if it is, or is no text. */
  String optionalText(String name) {
    return Json.text(fields, name);
  }

  /** A list of texts; empty if it is absent. */
  List<String> texts(String name) {
    return Json.texts(fields, name);
  }

  /** A required address, as host:port. */
  String address(String name) {
    String value = text(name);
    if (!value.isEmpty() && !value.matches("[^:]+:[0-9]{1,5}")) {
      fault(name, "not of the form host:port");
    }
    return value;
  }

  /** A required number above 0. */
  double positive(String name) {
    double value = optionalNumber(name, Double.NaN);
    if (!(value > 0) || Double.isInfinite(value)) {
      fault(name, "must be a number above 0");
      return 1;
    }
    return value;
  }

  /** A required number that is not below the least one. */
  double atLeast(String name, double least) {
    double value = optionalNumber(name, Double.NaN);
    if (!(value >= least) || value > MAX_LIMIT) {
      fault(name, "must be a number of " + least + " or more");
      return least;
    }
    return value;
  }

  /** A number that may be absent. */
  double optionalNumber(String name, double absent) {
    return Json.real(fields, name, absent);
  }

  /** A whole number that may be absent; what is written after the point is cut off. */
  int optionalInt(String name, int absent) {
    return (int) Json.num(fields, name, absent);
  }

  /** A required duration above 0, written in seconds, in microseconds. */
  long secondsAsMicros(String name) {
    return (long) (positive(name) * MICROS_PER_SECOND);
  }

  /** A duration, written in seconds, in microseconds; 0 if it is absent. */
  long optionalSecondsAsMicros(String name) {
    return (long) (optionalNumber(name, 0) * MICROS_PER_SECOND);
  }

  /** A duration, written in milliseconds, in microseconds; 0 if it is absent. */
  long optionalMillisAsMicros(String name) {
    return (long) (optionalNumber(name, 0) * MICROS_PER_MILLISECOND);
  }

  /** A required amount of 0 or more, in thousandths. */
  long thousandths(String name) {
    double value = optionalNumber(name, Double.NaN);
    if (!(value >= 0)) {
      fault(name, "must be a number, 0 or more");
      return 0;
    }
    return Math.round(value * THOUSANDTHS);
  }

  void fault(String name, String what) {
    faults.add(path + name + ": " + what);
  }
}
