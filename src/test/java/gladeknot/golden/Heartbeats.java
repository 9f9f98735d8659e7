package gladeknot.golden;

import gladeknot.json.Json;
import java.util.List;
import java.util.Map;

/** Builds heartbeats in the workers' format. */
final class Heartbeats {
  private Heartbeats() {}

  /** Returns a heartbeat of an on-demand machine in zone a, in the worker's first incarnation. */
  static Map<String, Object> of(String host, long sequence, long token, Object... attempts) {
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
        List.of(attempts));
  }

  /** Returns a running attempt in the form that a heartbeat reports. */
  static Map<String, Object> running(String task, long number) {
    return Json.of("strand", task, "try", number, "phase", "running");
  }

  /** Returns an ended attempt in the form that a heartbeat reports. */
  static Map<String, Object> ended(String task, long number, String cause) {
    return Json.of("strand", task, "try", number, "phase", "ended", "cause", cause);
  }
}
