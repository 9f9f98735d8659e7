package gladeknot.golden;

import gladeknot.json.Json;
import java.util.List;
import java.util.Map;

/** Heartbeats as workers write them. */
final class Heartbeats {
  private Heartbeats() {}

  /** A heartbeat of an ordinary machine in zone a, in its first session. */
  static Map<String, Object> of(String host, long sequence, long token, Object... strands) {
    return Json.of(
        "host",
        host,
        "endpoint",
        host + ":9",
        "hosttype",
        "small",
        "glade",
        "a",
        "loaners",
        false,
        "tenure",
        1,
        "tick",
        sequence,
        "fence",
        token,
        "recallS",
        null,
        "strands",
        List.of(strands));
  }

  /** A task that runs. */
  static Map<String, Object> running(String task, long number) {
    return Json.of("strand", task, "try", number, "phase", "running");
  }

  /** A task that has ended. */
  static Map<String, Object> ended(String task, long number, String cause) {
    return Json.of("strand", task, "try", number, "phase", "ended", "cause", cause);
  }
}
