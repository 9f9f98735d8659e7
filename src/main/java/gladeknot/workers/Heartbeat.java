package gladeknot.workers;

import gladeknot.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What a worker says of itself; {@code recallS} is below 0 where the machine stays. */
public record Heartbeat(
    String host,
    String endpoint,
    String type,
    String zone,
    boolean spot,
    long incarnation,
    long sequence,
    long fencingToken,
    double reclaimInSeconds,
    List<TaskStatus> tasks) {

  /** A task on the machine. */
  public record TaskStatus(String name, long attempt, String phase, String cause, boolean stored) {
    /** The job that it is of. */
    public String job() {
      return name.substring(0, name.lastIndexOf('/'));
    }

    public boolean ended() {
      return phase.equals("ended");
    }
  }

  /** A report that breaks the form. */
  public static final class MalformedHeartbeatException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedHeartbeatException(String message) {
      super(message);
    }
  }

  /** Whether it is newer than the one of that session and tick. */
  public boolean isNewerThan(long otherTenure, long otherTick) {
    return incarnation > otherTenure || (incarnation == otherTenure && sequence > otherTick);
  }

  /** Reads a report. */
  public static Heartbeat parse(Map<String, Object> m) throws MalformedHeartbeatException {
    List<TaskStatus> tasks = new ArrayList<>();
    if (m.get("strands") != null && !(m.get("strands") instanceof List)) {
      throw new MalformedHeartbeatException("strands: must be a list");
    }
    for (Map<String, Object> t : Json.objects(m, "strands")) {
      String name = text(t, "strand");
      int slash = name.lastIndexOf('/');
      if (slash < 1 || !name.substring(slash + 1).matches("[0-9]{1,6}")) {
        throw new MalformedHeartbeatException("strand: must be job/number");
      }
      tasks.add(
          new TaskStatus(
              name,
              whole(t, "try"),
              text(t, "phase"),
              Json.text(t, "cause") == null ? "" : Json.text(t, "cause"),
              Json.flag(t, "stored")));
    }
    return new Heartbeat(
        text(m, "host"),
        text(m, "endpoint"),
        text(m, "hosttype"),
        text(m, "glade"),
        Json.flag(m, "loaners"),
        whole(m, "tenure"),
        whole(m, "tick"),
        whole(m, "fence"),
        Json.real(m, "recallS", -1),
        tasks);
  }

  private static String text(Map<String, Object> m, String name)
      throws MalformedHeartbeatException {
    String value = Json.text(m, name);
    if (value == null || value.isEmpty()) {
      throw new MalformedHeartbeatException(name + ": missing, or not a text");
    }
    return value;
  }

  private static long whole(Map<String, Object> m, String name) throws MalformedHeartbeatException {
    if (!(m.get(name) instanceof Number n) || n instanceof Double || n.longValue() < 0) {
      throw new MalformedHeartbeatException(name + ": must be a whole number");
    }
    return n.longValue();
  }
}
