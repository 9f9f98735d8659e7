package gladeknot.jobs;

import gladeknot.state.StateStore;
import java.util.List;

/**
 * An accepted job according to its record in the state service. Times are microseconds of the time
 * of day.
 *
 * @param id the id chosen by the user
 * @param phase whether the job is active, or how it ended
 * @param spec the submission; null once the job is finished
 * @param home the shard whose owner commits the job's end
 * @param tasks number of tasks
 * @param submittedMicros time of acceptance; 0 once the job is finished
 * @param readyMicros time from which the job's waiting time counts: its acceptance, or the end of
 *     its last dependency if that is later; 0 once the job is finished
 * @param endMicros time at which the job was completed; 0 if it is not completed or its record
 *     contains no end time
 * @param modRevision the revision of the job's record
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

  /** State of a job: active, or how it ended. */
  public enum Phase {
    /** Accepted and not finished. The job may be held by its dependencies. */
    ACTIVE,
    /** All tasks are completed. */
    DONE,
    /** Cancelled by its user, or because of a cancelled dependency. */
    CANCELLED
  }

  /** Prefix of the keys of job records that are not in the archive; the job's id follows. */
  public static final String KEY_PREFIX = StateStore.ROOT + "job/";

  /** Prefix of the keys of final records that were moved to the archive. */
  private static final String ARCHIVE_PREFIX = StateStore.ARCHIVE_ROOT + "job/";

  /** Returns the key of a finished job's record in the archive. */
  public static String archiveKey(String id) {
    return ARCHIVE_PREFIX + id;
  }

  /** Returns the key of a job's record until it is moved to the archive. */
  public static String key(String id) {
    return KEY_PREFIX + id;
  }

  /**
   * Returns the keys under which a job's record may be stored, whether the job is finished or not.
   */
  public static List<String> possibleKeys(String id) {
    return List.of(key(id), archiveKey(id));
  }

  /** Returns whether the job is neither completed nor cancelled. */
  public boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** Returns this job with its waiting time counted from a later time. */
  Job readyAt(long micros) {
    return new Job(id, phase, spec, home, tasks, submittedMicros, micros, endMicros, modRevision);
  }

  /** Returns this job as cancelled, before its record shows the cancellation. */
  Job asCancelled() {
    return new Job(id, Phase.CANCELLED, null, home, tasks, submittedMicros, 0, 0, modRevision);
  }
}
