package gladeknot.jobs;

import gladeknot.http.Json;
import gladeknot.state.StateStore;
import java.util.Map;

/** An accepted job as its key tells it; {@code spec} is null once it is over. */
public record Job(
    String id, Phase phase, JobSpec spec, int home, int tasks, long submittedMicros, long stamp) {

  /** Whether a job goes on or how it ended. */
  public enum Phase {
    ACTIVE,
    DONE,
    WITHDRAWN
  }

  public static final String KEYS = StateStore.ROOT + "job/";

  public static String key(String id) {
    return KEYS + id;
  }

  public boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** Reads a job's key. */
  static Job read(String id, StateStore.Entry entry) {
    Map<String, Object> data = entry.data();
    String phase = Json.text(data, "p");
    int tasks = (int) Json.num(data, "n", 0);
    if ("done".equals(phase)) {
      return new Job(id, Phase.DONE, null, 0, tasks, 0, entry.stamp());
    }
    if ("withdrawn".equals(phase)) {
      return new Job(id, Phase.WITHDRAWN, null, 0, tasks, 0, entry.stamp());
    }
    try {
      JobSpec spec = JobSpec.parse(Json.map(data.get("s")));
      int home = (int) Json.num(data, "h", 0);
      long at = Json.num(data, "t", 0);
      return new Job(id, Phase.ACTIVE, spec, home, spec.tasks(), at, entry.stamp());
    } catch (JobSpec.MalformedJobException e) {
      throw new IllegalStateException("job " + id + " is stored malformed: " + e.getMessage(), e);
    }
  }

  /** What is stored when a job is accepted. */
  static Map<String, Object> accepted(JobSpec spec, int home, long wallMicros) {
    return Json.of("s", spec.toMap(), "h", home, "t", wallMicros);
  }

  /** What is stored for good once a job is over. */
  public static Map<String, Object> over(Phase phase, int tasks) {
    return Json.of("p", phase == Phase.DONE ? "done" : "withdrawn", "n", tasks);
  }
}
