package gladeknot.workers;

import gladeknot.json.Json;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

/**
 * Decodes the messages from workers: heartbeats, and replies to direct commands and status
 * requests.
 */
public final class HeartbeatCodec {
  private static final String INCARNATION = "tenure";
  private static final String TASKS = "strands";
  private static final String TASK = "strand";
  private static final Pattern TASK_NUMBER = Pattern.compile("[0-9]{1,6}");
  private static final double NO_RECLAIM_NOTICE = -1;

  private HeartbeatCodec() {}

  /** Decodes a heartbeat. Throws for the first malformed field. */
  public static Heartbeat read(Map<String, Object> message) throws MalformedHeartbeatException {
    List<Heartbeat.TaskStatus> tasks = tasks(message);
    return new Heartbeat(
        text(message, "host"),
        text(message, "endpoint"),
        text(message, "hosttype"),
        text(message, "glade"),
        Json.flag(message, "loaners"),
        wholeNumber(message, INCARNATION),
        wholeNumber(message, "tick"),
        wholeNumber(message, "fence"),
        reclaimInSeconds(message),
        tasks);
  }

  /** Returns the incarnation in a worker's reply; 0 if the reply contains none. */
  public static long incarnation(Map<String, Object> reply) {
    return Json.longValue(reply, INCARNATION, 0);
  }

  private static OptionalDouble reclaimInSeconds(Map<String, Object> message) {
    double seconds = Json.doubleValue(message, "recallS", NO_RECLAIM_NOTICE);
    return seconds < 0 ? OptionalDouble.empty() : OptionalDouble.of(seconds);
  }

  private static List<Heartbeat.TaskStatus> tasks(Map<String, Object> message)
      throws MalformedHeartbeatException {
    Object listed = message.get(TASKS);
    if (listed != null && !(listed instanceof List)) {
      throw malformed(TASKS, "must be a list");
    }
    List<Heartbeat.TaskStatus> tasks = new ArrayList<>();
    for (Map<String, Object> task : Json.objects(message, TASKS)) {
      tasks.add(task(task));
    }
    return tasks;
  }

  private static Heartbeat.TaskStatus task(Map<String, Object> task)
      throws MalformedHeartbeatException {
    String name = text(task, TASK);
    int slash = name.lastIndexOf('/');
    if (slash < 1 || !TASK_NUMBER.matcher(name.substring(slash + 1)).matches()) {
      throw malformed(TASK, "must be job/number");
    }
    long attempt = wholeNumber(task, "try");
    String phase = text(task, "phase");
    String cause = Json.text(task, "cause");
    String causeText = cause == null ? "" : cause;
    return new Heartbeat.TaskStatus(
        name, attempt, phase(phase), phase, cause(causeText), causeText);
  }

  private static TaskPhase phase(String word) {
    return switch (word) {
      case "fetching" -> TaskPhase.FETCHING;
      case "waiting" -> TaskPhase.WAITING;
      case "saving" -> TaskPhase.SAVING;
      case "ended" -> TaskPhase.ENDED;
      default -> TaskPhase.RUNNING;
    };
  }

  private static EndCause cause(String word) {
    return switch (word) {
      case "done" -> EndCause.SUCCEEDED;
      case "error" -> EndCause.FAILED;
      case "no_room" -> EndCause.INSUFFICIENT_RESOURCES;
      case "busy" -> EndCause.TASK_ALREADY_PRESENT;
      case "no_such" -> EndCause.UNKNOWN_TASK;
      default -> EndCause.OTHER;
    };
  }

  private static String text(Map<String, Object> object, String name)
      throws MalformedHeartbeatException {
    String value = Json.text(object, name);
    if (value == null || value.isEmpty()) {
      throw malformed(name, "missing, or not a text");
    }
    return value;
  }

  private static long wholeNumber(Map<String, Object> object, String name)
      throws MalformedHeartbeatException {
    if (!(object.get(name) instanceof Number number)
        || !isWhole(number)
        || number.longValue() < 0) {
      throw malformed(name, "must be a whole number");
    }
    return number.longValue();
  }

  private static boolean isWhole(Number number) {
    return number instanceof Integer || number instanceof Long || number instanceof BigInteger;
  }

  private static MalformedHeartbeatException malformed(String name, String fault) {
    return new MalformedHeartbeatException(name + ": " + fault);
  }
}
