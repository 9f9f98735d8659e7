package gladeknot.jobs;

import gladeknot.json.Json;
import gladeknot.state.Entry;
import gladeknot.state.StateStore;
import java.util.Map;

/**
 * An accepted job as its key tells it; {@code spec} is null once it is over.
 *
 * <p>Times are microseconds of the time of day. {@code readyMicros} is the moment from which its
 * waits count: its submission, or the end of the last job that it needs if that is later. {@code
 * endMicros} is the moment at which it was done, 0 if it is not done or its record does not tell.
 */
public record Job(
    String id,
    Phase phase,
    JobSpec spec,
    int home,
    int tasks,
    long submittedMicros,
    long readyMicros,
    long endMicros,
    long modRevision) {

  // Names of the fields of a job's record.
  private static final String FIELD_PHASE = "p";
  private static final String FIELD_TASKS = "n";
  private static final String FIELD_SPEC = "s";
  private static final String FIELD_HOME = "h";
  private static final String FIELD_SUBMITTED = "t";

  /** Not written by versions without pipelines, which ignore it. */
  private static final String FIELD_END = "e";

  /** Whether a job goes on or how it ended. */
  public enum Phase {
    ACTIVE("active"),
    DONE("done"),
    CANCELLED("withdrawn");

    private final String word;

    Phase(String word) {
      this.word = word;
    }

    /** The protocol's word for a final phase, in answers and records. */
    String word() {
      return word;
    }

    private static Phase ofName(String word) {
      return DONE.word().equals(word) ? DONE : CANCELLED;
    }
  }

  public static final String KEY_PREFIX = StateStore.ROOT + "job/";

  public static String key(String id) {
    return KEY_PREFIX + id;
  }

  public boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** The same job, with its waits counted from a later moment. */
  Job readyAt(long micros) {
    return new Job(id, phase, spec, home, tasks, submittedMicros, micros, endMicros, modRevision);
  }

  /** Reads a job's key. */
  static Job decode(String id, Entry entry) {
    Map<String, Object> data = entry.data();
    String phase = Json.text(data, FIELD_PHASE);
    if (phase != null) {
      int tasks = (int) Json.num(data, FIELD_TASKS, 0);
      long end = Json.num(data, FIELD_END, 0);
      return new Job(id, Phase.ofName(phase), null, 0, tasks, 0, 0, end, entry.modRevision());
    }
    try {
      JobSpec spec = JobSpec.parse(Json.map(data.get(FIELD_SPEC)));
      int home = (int) Json.num(data, FIELD_HOME, 0);
      long at = Json.num(data, FIELD_SUBMITTED, 0);
      return new Job(id, Phase.ACTIVE, spec, home, spec.tasks(), at, at, 0, entry.modRevision());
    } catch (JobSpec.MalformedJobException e) {
      throw new IllegalStateException("job " + id + " is stored malformed: " + e.getMessage(), e);
    }
  }

  /** What is stored when a job is accepted. */
  static Map<String, Object> accepted(JobSpec spec, int home, long wallMicros) {
    return Json.of(FIELD_SPEC, spec.toMap(), FIELD_HOME, home, FIELD_SUBMITTED, wallMicros);
  }

  /** What is stored for good once all tasks of a job are done. */
  public static Map<String, Object> done(int tasks, long wallMicros) {
    return Json.of(FIELD_PHASE, Phase.DONE.word(), FIELD_TASKS, tasks, FIELD_END, wallMicros);
  }

  /** What is stored for good once a job is withdrawn. */
  public static Map<String, Object> cancelled(int tasks) {
    return Json.of(FIELD_PHASE, Phase.CANCELLED.word(), FIELD_TASKS, tasks);
  }
}
