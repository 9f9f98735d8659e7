package gladeknot.jobs;

import gladeknot.json.Json;
import gladeknot.state.Entry;
import java.util.List;
import java.util.Map;

/**
 * Converts a {@link Job} from and to its record in the state service. An active job's record holds
 * the submission. A final record holds the phase and the number of tasks, and never changes again.
 */
public final class JobRecordCodec {
  private static final String PHASE = "p";
  private static final String TASKS = "n";
  private static final String SPEC = "s";
  private static final String HOME = "h";
  private static final String SUBMITTED_MICROS = "t";

  /** End time. Versions without job dependencies don't write it, and ignore it. */
  private static final String END_MICROS = "e";

  private static final String PHASE_DONE = "done";
  private static final String PHASE_CANCELLED = "withdrawn";

  private JobRecordCodec() {}

  /** Returns the record of a job that is accepted at a time of day. */
  static Map<String, Object> encodeAccepted(JobSpec spec, int home, long wallMicros) {
    return Json.of(SPEC, JobSpecCodec.encode(spec), HOME, home, SUBMITTED_MICROS, wallMicros);
  }

  /** Returns the final record of a job whose tasks were all completed at a time of day. */
  public static Map<String, Object> encodeDone(int tasks, long wallMicros) {
    return Json.of(PHASE, PHASE_DONE, TASKS, tasks, END_MICROS, wallMicros);
  }

  /** Returns the final record of a cancelled job. */
  public static Map<String, Object> encodeCancelled(int tasks) {
    return Json.of(PHASE, PHASE_CANCELLED, TASKS, tasks);
  }

  /** Returns whether a key holds the final record of a job. */
  public static boolean isFinalRecord(String key, Map<String, Object> data) {
    return key.startsWith(Job.KEY_PREFIX) && data.containsKey(PHASE);
  }

  /** Returns the ids of the jobs that the job of a record depends on; empty for other records. */
  public static List<String> dependencies(String key, Map<String, Object> data) {
    return key.startsWith(Job.KEY_PREFIX)
        ? JobSpecCodec.dependencies(Json.map(data.get(SPEC)))
        : List.of();
  }

  /**
   * Decodes a job's record.
   *
   * @throws IllegalStateException if an accepted job is stored with a malformed submission
   */
  static Job decode(String id, Entry entry) {
    String phase = Json.text(entry.data(), PHASE);
    return phase == null ? decodeActive(id, entry) : decodeFinal(id, phase, entry);
  }

  private static Job decodeFinal(String id, String phaseWord, Entry entry) {
    Map<String, Object> data = entry.data();
    Job.Phase phase = phaseWord.equals(PHASE_DONE) ? Job.Phase.DONE : Job.Phase.CANCELLED;
    int tasks = (int) Json.longValue(data, TASKS, 0);
    long endMicros = Json.longValue(data, END_MICROS, 0);
    return new Job(id, phase, null, 0, tasks, 0, 0, endMicros, entry.modRevision());
  }

  private static Job decodeActive(String id, Entry entry) {
    Map<String, Object> data = entry.data();
    JobSpec spec;
    try {
      spec = JobSpecCodec.decode(Json.map(data.get(SPEC)));
    } catch (MalformedJobException e) {
      throw new IllegalStateException(
          "stored record of job "
              + id
              + ", revision "
              + entry.modRevision()
              + ", has a malformed submission: "
              + e.getMessage(),
          e);
    }
    int home = (int) Json.longValue(data, HOME, 0);
    long submittedMicros = Json.longValue(data, SUBMITTED_MICROS, 0);
    return new Job(
        id,
        Job.Phase.ACTIVE,
        spec,
        home,
        spec.tasks(),
        submittedMicros,
        submittedMicros,
        0,
        entry.modRevision());
  }
}
