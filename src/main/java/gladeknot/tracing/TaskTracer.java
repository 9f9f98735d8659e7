package gladeknot.tracing;

/**
 * Hears of each step of a job's submission and of each attempt at a task, for tracing. All calls
 * come from the event loop; times are the time of day of the newest {@link #setTime}.
 */
public interface TaskTracer {
  /** Records nothing. */
  TaskTracer NONE = new TaskTracer() {};

  /** Names one attempt at a task. */
  record AttemptId(String job, String task, long number) {}

  /** Sets the time of day, in microseconds. */
  default void setTime(long wallMicros) {}

  /** A submission waits to be committed. */
  default void submitted(String job) {}

  /** A submission is committed. */
  default void accepted(String job) {}

  /** A request about a job was refused, and may be repeated. */
  default void refused(String job, String why) {}

  /** The start of an attempt is committed. */
  default void committed(AttemptId attempt, String host, int shard, long term) {}

  /** A heartbeat response carries the command to run an attempt. */
  default void runSent(AttemptId attempt) {}

  /** A heartbeat shows an attempt in a state other than before. */
  default void phaseObserved(AttemptId attempt, String state) {}

  /** An attempt is to be killed. */
  default void killed(AttemptId attempt) {}

  /** An attempt has ended, or is proven gone. */
  default void ended(AttemptId attempt, String cause) {}

  /** The controller no longer owns a shard, nor its attempts. */
  default void shardReleased(int shard) {}
}
