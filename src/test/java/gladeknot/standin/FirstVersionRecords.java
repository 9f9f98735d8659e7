package gladeknot.standin;

import gladeknot.json.Json;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Record formats that the first released version, which has no job dependencies, can read: the
 * fields that it requires in each stored record. That version ignores unknown keys and fields.
 */
final class FirstVersionRecords {
  private static final Pattern SEGMENT_KEY = Pattern.compile("g/sl/[0-9]+/(a[0-3]|w[01])");
  private static final String RANGES = "([0-9]+(-[0-9]+)?(,[0-9]+(-[0-9]+)?)*)?";
  private static final String ATTEMPTS = "([0-9]+:[0-9]+:[^:,|~]+(,[0-9]+:[0-9]+:[^:,|~]+)*)?";

  /** That version splits a record at all separators and looks at the first eight fields only. */
  private static final String FURTHER_FIELDS = "(\\|[^|]*)*";

  private static final Pattern SLICE =
      Pattern.compile(
          "[^|]+\\|[0-9]+\\|[0-9]+\\|[0-9]+\\|[0-9]+\\|"
              + RANGES
              + "\\|([*]|"
              + RANGES
              + ")\\|"
              + ATTEMPTS
              + FURTHER_FIELDS);

  private FirstVersionRecords() {}

  static boolean canRead(String key, Map<String, Object> data) {
    if (key.startsWith("g/alive/")) {
      return data.get("inc") instanceof Number;
    }
    if (key.startsWith("g/shard/")) {
      return Json.text(data, "owner") != null && hasNumbers(data, "inc", "term");
    }
    if (key.startsWith("g/job/")) {
      return isJob(data);
    }
    if (key.startsWith("g/sl/")) {
      return SEGMENT_KEY.matcher(key).matches()
          && data.values().stream().allMatch(record -> SLICE.matcher((String) record).matches());
    }
    return true;
  }

  private static boolean isJob(Map<String, Object> data) {
    String phase = Json.text(data, "p");
    if (phase != null) {
      return (phase.equals("done") || phase.equals("withdrawn")) && hasNumbers(data, "n");
    }
    return hasNumbers(data, "h", "t") && Json.text(Json.map(data.get("s")), "id") != null;
  }

  private static boolean hasNumbers(Map<String, Object> data, String... names) {
    for (String name : names) {
      if (!(data.get(name) instanceof Number)) {
        return false;
      }
    }
    return true;
  }
}
