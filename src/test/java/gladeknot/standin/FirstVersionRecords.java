package gladeknot.standin;

import gladeknot.json.Json;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * What the version without pipelines can read, as it was: the fields that it needs in each record.
 * It ignores keys and fields that it does not know.
 */
final class FirstVersionRecords {
  private static final Pattern PART = Pattern.compile("g/sl/[0-9]+/(a[0-3]|w[01])");
  private static final String RANGES = "([0-9]+(-[0-9]+)?(,[0-9]+(-[0-9]+)?)*)?";
  private static final String ATTEMPTS = "([0-9]+:[0-9]+:[^:,|~]+(,[0-9]+:[0-9]+:[^:,|~]+)*)?";
  private static final Pattern SLICE =
      Pattern.compile(
          "[^|]+\\|[0-9]+\\|[0-9]+\\|[0-9]+\\|[0-9]+\\|"
              + RANGES
              + "\\|([*]|"
              + RANGES
              + ")\\|"
              + ATTEMPTS);

  private FirstVersionRecords() {}

  static boolean reads(String key, Map<String, Object> data) {
    if (key.startsWith("g/alive/")) {
      return data.get("inc") instanceof Number;
    }
    if (key.startsWith("g/shard/")) {
      return Json.text(data, "owner") != null && numbers(data, "inc", "term");
    }
    if (key.startsWith("g/job/")) {
      return job(data);
    }
    if (key.startsWith("g/sl/")) {
      return PART.matcher(key).matches()
          && data.values().stream().allMatch(record -> SLICE.matcher((String) record).matches());
    }
    return true;
  }

  private static boolean job(Map<String, Object> data) {
    String phase = Json.text(data, "p");
    if (phase != null) {
      return (phase.equals("done") || phase.equals("withdrawn")) && numbers(data, "n");
    }
    return numbers(data, "h", "t") && Json.text(Json.map(data.get("s")), "id") != null;
  }

  private static boolean numbers(Map<String, Object> data, String... names) {
    for (String name : names) {
      if (!(data.get(name) instanceof Number)) {
        return false;
      }
    }
    return true;
  }
}
