package gladeknot.settings;

import gladeknot.json.Json;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A table of a settings file in which unknown fields, wrong types and ranges are all faults. */
final class StrictTable {
  private static final int MAX_PORT = 65535;
  private static final double MICROS_PER_SECOND = 1e6;

  private final Map<String, Object> fields;
  private final String path;
  private final List<String> faults;
  private final Set<String> known = new HashSet<>();

  /** A table whose fields are named with the path before them in the faults. */
  StrictTable(Map<String, Object> fields, String path, List<String> faults) {
    this.fields = fields;
    this.path = path;
    this.faults = faults;
  }

  /** Whether a field is there; from now on it is a known one. */
  boolean has(String name) {
    known.add(name);
    return fields.containsKey(name);
  }

  /** A table in this one; empty if it is absent. */
  StrictTable table(String name) {
    if (has(name) && !(fields.get(name) instanceof Map)) {
      fault(name, "must be a table");
    }
    return new StrictTable(Json.map(fields.get(name)), path + name + ".", faults);
  }

  /** A number within a range; {@code absent} if it is not there. */
  double number(String name, double absent, double least, double most) {
    if (!has(name)) {
      return absent;
    }
    double value = fields.get(name) instanceof Number n ? n.doubleValue() : Double.NaN;
    if (!(value >= least && value <= most)) {
      fault(name, "must be a number from " + least + " to " + most);
      return absent;
    }
    return value;
  }

  /** A duration that is written in seconds, in microseconds. */
  long micros(String name, double absentSeconds, double leastSeconds, double mostSeconds) {
    return Math.round(number(name, absentSeconds, leastSeconds, mostSeconds) * MICROS_PER_SECOND);
  }

  /** A truth value; {@code absent} if it is not there. */
  boolean flag(String name, boolean absent) {
    if (has(name) && !(fields.get(name) instanceof Boolean)) {
      fault(name, "must be true or false");
      return absent;
    }
    return fields.get(name) instanceof Boolean flag ? flag : absent;
  }

  /** A required text. */
  String text(String name) {
    String value = has(name) ? Json.text(fields, name) : null;
    if (value == null || value.isBlank()) {
      fault(name, "missing, or not a text");
      return "";
    }
    return value;
  }

  /** An address as host:port; {@code absent} if it is not there. */
  String address(String name, String absent) {
    if (!has(name)) {
      return absent;
    }
    String value = Json.text(fields, name);
    if (value == null || !value.matches("[^:\\s]+:[0-9]{1,5}") || port(value) > MAX_PORT) {
      fault(name, "not of the form host:port");
      return absent;
    }
    return value;
  }

  private static int port(String address) {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  /** Makes a fault of a field. */
  void fault(String name, String what) {
    faults.add(path + name + ": " + what);
  }

  /** Makes a fault of each field that nobody has asked for. */
  void rejectUnknown() {
    for (String name : fields.keySet()) {
      if (!known.contains(name)) {
        fault(name, "unknown field");
      }
    }
  }
}
