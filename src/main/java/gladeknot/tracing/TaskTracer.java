package gladeknot.tracing;

/**
 * Receives each step of job submissions and of attempts, for tracing. All calls come from the event
 * loop. Each step is recorded at the time of day set by the latest {@link #setTime}.
 */
public interface TaskTracer {
  /** Tracer that records nothing. */
  TaskTracer NONE = new TaskTracer() {};

  /** Identifies an attempt of a task. */
  record AttemptId(String job, String task, long number) {}

  /** Sets the time of day, in microseconds since 1970. */
  default void setTime(long wallMicros) {}

  /** Records that a submission is waiting to be committed. */
  default void submitted(String job) {}

  /** Records that a submission is committed. */
  default void accepted(String job) {}

  /** Records that a request about a job was refused; the client may retry it. */
  default void refused(String job, String reason) {}

  /** Records that the start of an attempt is committed. */
  default void committed(AttemptId attempt, String host, int shard, long term) {}

  /** Records that a heartbeat response contains the command to run an attempt. */
  default void runSent(AttemptId attempt) {}

  /** Records that a heartbeat reports an attempt in a phase other than before. */
  default void phaseObserved(AttemptId attempt, String phase) {}

  /** Records that a kill of an attempt is requested. */
  default void killed(AttemptId attempt) {}

  /** Records that an attempt has ended or is proved lost. */
  default void ended(AttemptId attempt, String cause) {}

  /** Records that the controller no longer owns a shard and its attempts. */
  default void shardReleased(int shard) {}
}
