package gladeknot.workers;

/** A command to a worker about one attempt, encoded by {@link CommandCodec}. */
public sealed interface WorkerCommand {
  /** Returns the task's name: job, slash, number. */
  String task();

  /** Returns the attempt number. */
  long attempt();

  /** Starts an attempt. Has no effect if the worker already has the attempt. */
  record Run(String task, long attempt) implements WorkerCommand {}

  /**
   * Stops an attempt.
   *
   * @param graceSeconds grace period in which the task may save its progress; the task saves
   *     nothing if its job needs more time
   */
  record Kill(String task, long attempt, double graceSeconds) implements WorkerCommand {
    /** Returns a command that stops an attempt at once, without saving its progress. */
    public static Kill immediately(String task, long attempt) {
      return new Kill(task, attempt, 0);
    }
  }

  /** Removes an exited attempt from the worker's heartbeats. */
  record Purge(String task, long attempt) implements WorkerCommand {}
}
