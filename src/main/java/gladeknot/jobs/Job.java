package gladeknot.jobs;

import gladeknot.state.StateStore;

/**
 * An accepted job as its record in the state store shows it. Times are microseconds of the time of
 * day.
 *
 * @param id the id that its user chose
 * @param phase whether it is under way, or how it ended
 * @param spec what was submitted; null once the job is over
 * @param home the shard whose owner commits its end
 * @param tasks how many tasks it has
 * @param submittedMicros when it was accepted; 0 once it is over
 * @param readyMicros from when its waiting time counts: its submission, or the end of the last of
 *     its dependencies if that is later; 0 once it is over
 * @param endMicros when it was done; 0 if it is not done or its record does not say
 * @param modRevision the revision of its record
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

  /** Whether a job is under way, or how it ended. */
  public enum Phase {
    /** Accepted and not over; it may be held by its dependencies. */
    ACTIVE,
    /** All of its tasks are done. */
    DONE,
    /** Cancelled by its user, or with one of its dependencies. */
    CANCELLED
  }

  /** What the keys of all job records begin with; the job's id follows. */
  public static final String KEY_PREFIX = StateStore.ROOT + "job/";

  /** The key of a job's record. */
  public static String key(String id) {
    return KEY_PREFIX + id;
  }

  /** Whether it is neither done nor cancelled. */
  public boolean active() {
    return phase == Phase.ACTIVE;
  }

  /** The same job, with its waiting time counted from a later moment. */
  Job readyAt(long micros) {
    return new Job(id, phase, spec, home, tasks, submittedMicros, micros, endMicros, modRevision);
  }

  /** The same job as cancelled, before a record says so. */
  Job asCancelled() {
    return new Job(id, Phase.CANCELLED, null, home, tasks, submittedMicros, 0, 0, modRevision);
  }
}
