package gladeknot.workers;

/** A command to a worker about one attempt; {@link CommandCodec} writes it. */
public sealed interface WorkerCommand {
  /** The task's name: job, slash, number. */
  String task();

  /** The attempt number. */
  long attempt();

  /** Starts an attempt; without effect if the worker has it already. */
  record Run(String task, long attempt) implements WorkerCommand {}

  /**
   * Stops an attempt.
   *
   * @param graceSeconds the time that it has to save its progress; it saves nothing if that is less
   *     than its job needs for it
   */
  record Kill(String task, long attempt, double graceSeconds) implements WorkerCommand {
    /** Stops an attempt at once, without saving its progress. */
    public static Kill immediately(String task, long attempt) {
      return new Kill(task, attempt, 0);
    }
  }

  /** Removes an exited attempt from the worker's heartbeats. */
  record Purge(String task, long attempt) implements WorkerCommand {}
}
