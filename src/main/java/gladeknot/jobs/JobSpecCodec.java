package gladeknot.jobs;

import gladeknot.json.Json;
import gladeknot.json.ResourceUnits;
import java.math.BigDecimal;
import java.util.List;
import java.util.Map;

/**
 * Converts a {@link JobSpec} from and to the protocol's form of a submission, which is also the
 * stored form. Error messages name the protocol's fields.
 */
public final class JobSpecCodec {
  private static final String ID = "id";
  private static final String JOB_CLASS = "jobclass";
  private static final String TEAM = "owner";
  private static final String SHAPE = "shape";
  private static final String PRIORITY = "rank";
  private static final String TASKS = "strands";
  private static final String CPUS = "cores";
  private static final String GPUS = "accelerators";
  private static final String MEMORY = "memoryGb";
  private static final String IMAGE = "bundle";
  private static final String IMAGE_GB = "sizeGb";
  private static final String MACHINE_TYPES = "hosttypes";
  private static final String ZONE = "glade";
  private static final String COLOCATED = "together";
  private static final String SPREAD = "scatter";
  private static final String SPOT_ALLOWED = "loaners";
  private static final String ESTIMATED_RUN_SECONDS = "guessS";
  private static final String CHECKPOINT_INTERVAL_SECONDS = "snapshotS";
  private static final String CHECKPOINT_SECONDS = "flushS";
  private static final String DEADLINE_SECONDS = "dueS";
  private static final String DEPENDENCIES = "waitsOn";

  private static final String SHAPE_ARRAY = "array";
  private static final String SHAPE_GANG = "ensemble";
  private static final String SHAPE_SERVICE = "service";

  private static final String PRIORITY_PROD = "prod";
  private static final String PRIORITY_HIGH = "high";
  private static final String PRIORITY_NORMAL = "normal";
  private static final String PRIORITY_IDLE = "idle";

  private static final double MICROS_PER_SECOND = 1e6;
  private static final BigDecimal MAX_AMOUNT = BigDecimal.valueOf(1_000_000_000);
  private static final int MAX_TEXT_LENGTH = 200;

  private final Map<String, Object> fields;

  private JobSpecCodec(Map<String, Object> fields) {
    this.fields = fields;
  }

  /**
   * Decodes a submission. Unknown fields are ignored.
   *
   * @throws MalformedJobException for the first invalid field
   */
  public static JobSpec decode(Map<String, Object> fields) throws MalformedJobException {
    return new JobSpecCodec(fields).decode();
  }

  private JobSpec decode() throws MalformedJobException {
    // If several fields are invalid, the first one in this order is reported.
    String id = id();
    JobSpec.Shape shape = shape();
    JobSpec.Priority priority = priority();
    int tasks = taskCount();
    return new JobSpec(
        id,
        text(JOB_CLASS),
        team(),
        shape,
        priority,
        tasks,
        needed(CPUS, true),
        needed(GPUS, false),
        needed(MEMORY, true),
        text(IMAGE),
        amount(IMAGE_GB),
        machineTypes(),
        optionalText(ZONE),
        flag(COLOCATED),
        flag(SPREAD),
        flag(SPOT_ALLOWED),
        micros(ESTIMATED_RUN_SECONDS),
        micros(CHECKPOINT_INTERVAL_SECONDS),
        micros(CHECKPOINT_SECONDS),
        fields.get(DEADLINE_SECONDS) == null ? 0 : Math.max(1, micros(DEADLINE_SECONDS)),
        dependencies());
  }

  /** Returns the submission in the protocol's form, with the known fields only. */
  public static Map<String, Object> encode(JobSpec spec) {
    Map<String, Object> fields =
        Json.of(
            ID, spec.id(),
            JOB_CLASS, spec.jobClass(),
            TEAM, spec.team(),
            SHAPE, shapeWord(spec.shape()),
            PRIORITY, priorityWord(spec.priority()),
            TASKS, spec.tasks(),
            CPUS, ResourceUnits.toDecimal(spec.cpus()),
            GPUS, ResourceUnits.toDecimal(spec.gpus()),
            MEMORY, ResourceUnits.toDecimal(spec.memory()),
            IMAGE, spec.image(),
            IMAGE_GB, spec.imageGb(),
            MACHINE_TYPES, spec.machineTypes(),
            ZONE, spec.zone(),
            COLOCATED, spec.colocated(),
            SPREAD, spec.spread(),
            SPOT_ALLOWED, spec.spotAllowed(),
            ESTIMATED_RUN_SECONDS, seconds(spec.estimatedRunMicros()),
            CHECKPOINT_INTERVAL_SECONDS, seconds(spec.checkpointIntervalMicros()),
            CHECKPOINT_SECONDS, seconds(spec.checkpointMicros()),
            DEADLINE_SECONDS, spec.deadlineMicros() == 0 ? null : seconds(spec.deadlineMicros()));
    // Versions without job dependencies don't know this field. It is written only if it is not
    // empty.
    if (!spec.dependencies().isEmpty()) {
      fields.put(DEPENDENCIES, spec.dependencies());
    }
    return fields;
  }

  /** Returns the dependencies that a submission names; empty if it names none. */
  static List<String> dependencies(Map<String, Object> submission) {
    return Json.texts(submission, DEPENDENCIES);
  }

  private String id() throws MalformedJobException {
    String id = text(ID);
    if (!JobSpec.isId(id)) {
      throw malformed(ID, "not of the form req-...");
    }
    return id;
  }

  private JobSpec.Shape shape() throws MalformedJobException {
    String word = text(SHAPE);
    return switch (word) {
      case SHAPE_ARRAY -> JobSpec.Shape.ARRAY;
      case SHAPE_GANG -> JobSpec.Shape.GANG;
      case SHAPE_SERVICE -> JobSpec.Shape.SERVICE;
      default -> throw malformed(SHAPE, "unknown " + word);
    };
  }

  private static String shapeWord(JobSpec.Shape shape) {
    return switch (shape) {
      case ARRAY -> SHAPE_ARRAY;
      case GANG -> SHAPE_GANG;
      case SERVICE -> SHAPE_SERVICE;
    };
  }

  private JobSpec.Priority priority() throws MalformedJobException {
    String word = text(PRIORITY);
    return switch (word) {
      case PRIORITY_PROD -> JobSpec.Priority.PROD;
      case PRIORITY_HIGH -> JobSpec.Priority.HIGH;
      case PRIORITY_NORMAL -> JobSpec.Priority.NORMAL;
      case PRIORITY_IDLE -> JobSpec.Priority.IDLE;
      default -> throw malformed(PRIORITY, "unknown " + word);
    };
  }

  private static String priorityWord(JobSpec.Priority priority) {
    return switch (priority) {
      case PROD -> PRIORITY_PROD;
      case HIGH -> PRIORITY_HIGH;
      case NORMAL -> PRIORITY_NORMAL;
      case IDLE -> PRIORITY_IDLE;
    };
  }

  private int taskCount() throws MalformedJobException {
    Object value = fields.get(TASKS);
    if (!(value instanceof Integer count) || count < 1 || count > JobSpec.MAX_TASKS) {
      throw malformed(TASKS, "must be a whole number from 1 to " + JobSpec.MAX_TASKS);
    }
    return count;
  }

  /** Returns the allowed machine types; null if all are allowed. */
  private List<String> machineTypes() throws MalformedJobException {
    Object value = fields.get(MACHINE_TYPES);
    if (value == null) {
      return null;
    }
    List<String> types = Json.texts(fields, MACHINE_TYPES);
    if (!(value instanceof List<?> list) || list.isEmpty() || list.size() != types.size()) {
      throw malformed(MACHINE_TYPES, "must be null or a list of names");
    }
    return types;
  }

  private List<String> dependencies() throws MalformedJobException {
    Object value = fields.get(DEPENDENCIES);
    if (value == null) {
      return List.of();
    }
    List<String> ids = Json.texts(fields, DEPENDENCIES);
    boolean allTexts = value instanceof List<?> list && list.size() == ids.size();
    if (!allTexts || !ids.stream().allMatch(JobSpec::isId)) {
      throw malformed(DEPENDENCIES, "must be null or a list of job ids");
    }
    return ids.stream().distinct().toList();
  }

  private String text(String name) throws MalformedJobException {
    String value = Json.text(fields, name);
    if (value == null || value.isEmpty() || value.length() > MAX_TEXT_LENGTH) {
      throw malformed(name, "must be a text of 1 to " + MAX_TEXT_LENGTH + " characters");
    }
    return value;
  }

  /** Returns the team; the settings, not this codec, limit the length of its name. */
  private String team() throws MalformedJobException {
    String value = Json.text(fields, TEAM);
    if (value == null || value.isEmpty()) {
      throw malformed(TEAM, "must be a text that is not empty");
    }
    return value;
  }

  private String optionalText(String name) throws MalformedJobException {
    return fields.get(name) == null ? null : text(name);
  }

  private boolean flag(String name) throws MalformedJobException {
    if (!(fields.get(name) instanceof Boolean value)) {
      throw malformed(name, "must be true or false");
    }
    return value;
  }

  /** Returns what a task needs, in billionths. */
  private long needed(String name, boolean aboveZero) throws MalformedJobException {
    checkAmount(name, aboveZero);
    return ResourceUnits.needed(Json.decimal(fields, name));
  }

  /** Returns a duration field, which is given in seconds, in microseconds. */
  private long micros(String name) throws MalformedJobException {
    return Math.round(amount(name) * MICROS_PER_SECOND);
  }

  private static double seconds(long micros) {
    return micros / MICROS_PER_SECOND;
  }

  /** Returns an amount of 0 or more for which a rounding error does no harm. */
  private double amount(String name) throws MalformedJobException {
    checkAmount(name, false);
    return Json.doubleValue(fields, name, Double.NaN);
  }

  private void checkAmount(String name, boolean aboveZero) throws MalformedJobException {
    BigDecimal value = Json.decimal(fields, name);
    int minSign = aboveZero ? 1 : 0;
    if (value == null || value.signum() < minSign || value.compareTo(MAX_AMOUNT) > 0) {
      throw malformed(name, "must be a number " + (aboveZero ? "above 0" : "of 0 or more"));
    }
  }

  private static MalformedJobException malformed(String name, String fault) {
    return new MalformedJobException(name + ": " + fault);
  }
}
