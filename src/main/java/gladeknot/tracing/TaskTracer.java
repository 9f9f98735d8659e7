package gladeknot.tracing;

/**
 * Hears of each step of a job's submission and of each attempt at a task, for tracing. All calls
 * come from the event loop; times are the time of day of the newest {@link #now}.
 */
public interface TaskTracer {
  /** Records nothing. */
  TaskTracer NONE = new TaskTracer() {};

  /** Names one attempt at a task. */
  record AttemptId(String job, String task, long number) {}

  /** Tells the time of day. */
  default void now(long wallMicros) {}

  /** A submission waits to be committed. */
  default void submitted(String job) {}

  /** A submission is committed. */
  default void accepted(String job) {}

  /** A submission was refused, and may be repeated. */
  default void refused(String job, String why) {}

  /** The start of an attempt is committed. */
  default void committed(AttemptId attempt, String host, int shard, long term) {}

  /** An answer to a report carries an attempt's run. */
  default void runSent(AttemptId attempt) {}

  /** A report shows an attempt in a state other than before. */
  default void phaseObserved(AttemptId attempt, String state) {}

  /** An attempt is wanted to end. */
  default void killed(AttemptId attempt) {}

  /** An attempt has ended, or is proven gone. */
  default void ended(AttemptId attempt, String cause) {}

  /** A shard has ceased to be ours, and with it its attempts. */
  default void shardReleased(int shard) {}
}
