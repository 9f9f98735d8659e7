package gladeknot.jobs;

import gladeknot.json.Json;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * A submitted job. Amounts are in thousandths, times in microseconds.
 *
 * <p>{@code zone}, {@code types} and {@code dueMicros} are null, null and 0 where the user set
 * none. {@code waitsOn} names the jobs that have to be done before a task of this one starts; each
 * once, empty if there are none.
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Shape shape,
    Priority priority,
    int tasks,
    long cpus,
    long gpus,
    long memory,
    String image,
    double imageGb,
    List<String> machineTypes,
    String zone,
    boolean colocated,
    boolean spread,
    boolean spotAllowed,
    long estimatedRunMicros,
    long checkpointIntervalMicros,
    long checkpointMicros,
    long deadlineMicros,
    List<String> dependencies) {

  /** How a job's tasks belong together. */
  public enum Shape {
    ARRAY,
    GANG,
    SERVICE
  }

  /** Priorities, the highest first. */
  public enum Priority {
    PROD,
    HIGH,
    NORMAL,
    IDLE
  }

  /** A submission that breaks the form; the message names the field. */
  public static final class MalformedJobException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedJobException(String message) {
      super(message);
    }
  }

  public static final int MAX_TASKS = 100_000;
  private static final Pattern ID = Pattern.compile("req-[A-Za-z0-9_.-]{1,60}");
  private static final double MAX_AMOUNT = 1e9;
  private static final int MAX_TEXT = 200;

  public static boolean isId(String id) {
    return ID.matcher(id).matches();
  }

  /** Whether its tasks stay whole in one slice. */
  public boolean unsplit() {
    return shape != Shape.ARRAY;
  }

  /** How many of its tasks may be in one zone. */
  public int maxPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }

  /** Whether another of its tasks may go to a zone, given how many are in each. */
  public boolean allowsZone(String inZone, Map<String, Integer> counts) {
    return (!spread || counts.getOrDefault(inZone, 0) < maxPerZone())
        && (!colocated || counts.isEmpty() || counts.containsKey(inZone));
  }

  /** Whether its tasks may be on a machine of a type, in a zone, spot or not. */
  public boolean allowsMachine(String type, String inZone, boolean isSpot) {
    return (machineTypes == null || machineTypes.contains(type))
        && (zone == null || zone.equals(inZone))
        && (spotAllowed || !isSpot);
  }

  /** Reads a submission. */
  public static JobSpec parse(Map<String, Object> m) throws MalformedJobException {
    String id = text(m, "id");
    if (!isId(id)) {
      throw new MalformedJobException("id: not of the form req-...");
    }
    String shapeName = text(m, "shape");
    Shape shape =
        switch (shapeName) {
          case "array" -> Shape.ARRAY;
          case "ensemble" -> Shape.GANG;
          case "service" -> Shape.SERVICE;
          default -> throw new MalformedJobException("shape: unknown " + shapeName);
        };
    String rankName = text(m, "rank");
    Priority rank =
        switch (rankName) {
          case "prod" -> Priority.PROD;
          case "high" -> Priority.HIGH;
          case "normal" -> Priority.NORMAL;
          case "idle" -> Priority.IDLE;
          default -> throw new MalformedJobException("rank: unknown " + rankName);
        };
    Object strands = m.get("strands");
    if (!(strands instanceof Integer count) || count < 1 || count > MAX_TASKS) {
      throw new MalformedJobException("strands: must be a whole number from 1 to " + MAX_TASKS);
    }
    return new JobSpec(
        id,
        text(m, "jobclass"),
        text(m, "owner"),
        shape,
        rank,
        count,
        Math.max(1, Math.round(amount(m, "cores", true) * 1000)),
        Math.round(amount(m, "accelerators", false) * 1000),
        Math.max(1, Math.round(amount(m, "memoryGb", true) * 1000)),
        text(m, "bundle"),
        amount(m, "sizeGb", false),
        types(m),
        optionalText(m, "glade"),
        flag(m, "together"),
        flag(m, "scatter"),
        flag(m, "loaners"),
        Math.round(amount(m, "guessS", false) * 1e6),
        Math.round(amount(m, "snapshotS", false) * 1e6),
        Math.round(amount(m, "flushS", false) * 1e6),
        m.get("dueS") == null ? 0 : Math.max(1, Math.round(amount(m, "dueS", false) * 1e6)),
        waitsOn(m));
  }

  /** The submission as it was written, with the known fields alone. */
  public Map<String, Object> toMap() {
    Map<String, Object> map =
        Json.of(
            "id", id,
            "jobclass", jobClass,
            "owner", team,
            "shape",
                shape == Shape.GANG ? "ensemble" : shape.name().toLowerCase(java.util.Locale.ROOT),
            "rank", priority.name().toLowerCase(java.util.Locale.ROOT),
            "strands", tasks,
            "cores", cpus / 1000.0,
            "accelerators", gpus / 1000.0,
            "memoryGb", memory / 1000.0,
            "bundle", image,
            "sizeGb", imageGb,
            "hosttypes", machineTypes,
            "glade", zone,
            "together", colocated,
            "scatter", spread,
            "loaners", spotAllowed,
            "guessS", estimatedRunMicros / 1e6,
            "snapshotS", checkpointIntervalMicros / 1e6,
            "flushS", checkpointMicros / 1e6,
            "dueS", deadlineMicros == 0 ? null : deadlineMicros / 1e6);
    if (!dependencies.isEmpty()) {
      map.put("waitsOn", dependencies);
    }
    return map;
  }

  private static String text(Map<String, Object> m, String name) throws MalformedJobException {
    String value = Json.text(m, name);
    if (value == null || value.isEmpty() || value.length() > MAX_TEXT) {
      throw new MalformedJobException(
          name + ": must be a text of 1 to " + MAX_TEXT + " characters");
    }
    return value;
  }

  private static String optionalText(Map<String, Object> m, String name)
      throws MalformedJobException {
    return m.get(name) == null ? null : text(m, name);
  }

  private static double amount(Map<String, Object> m, String name, boolean aboveZero)
      throws MalformedJobException {
    double value = Json.real(m, name, Double.NaN);
    if (!(value >= 0) || value > MAX_AMOUNT || (aboveZero && value <= 0)) {
      throw new MalformedJobException(
          name + ": must be a number " + (aboveZero ? "above 0" : "of 0 or more"));
    }
    return value;
  }

  private static boolean flag(Map<String, Object> m, String name) throws MalformedJobException {
    if (!(m.get(name) instanceof Boolean b)) {
      throw new MalformedJobException(name + ": must be true or false");
    }
    return b;
  }

  private static List<String> types(Map<String, Object> m) throws MalformedJobException {
    Object value = m.get("hosttypes");
    if (value == null) {
      return null;
    }
    List<String> types = Json.texts(m, "hosttypes");
    if (!(value instanceof List<?> list) || list.isEmpty() || list.size() != types.size()) {
      throw new MalformedJobException("hosttypes: must be null or a list of names");
    }
    return types;
  }

  private static List<String> waitsOn(Map<String, Object> m) throws MalformedJobException {
    Object value = m.get("waitsOn");
    if (value == null) {
      return List.of();
    }
    List<String> ids = Json.texts(m, "waitsOn");
    boolean allIds = value instanceof List<?> list && list.size() == ids.size();
    if (!allIds || !ids.stream().allMatch(JobSpec::isId)) {
      throw new MalformedJobException("waitsOn: must be null or a list of job ids");
    }
    return ids.stream().distinct().toList();
  }
}
