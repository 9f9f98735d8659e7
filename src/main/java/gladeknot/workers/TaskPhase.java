package gladeknot.workers;

/** Phase of a task that a worker lists. */
public enum TaskPhase {
  /** The task waits for its image. */
  FETCHING,
  /** The task waits for the other tasks of its gang. */
  WAITING,
  /** The task runs. A phase that this version does not know is read as this one. */
  RUNNING,
  /** The task was stopped and saves its progress. */
  SAVING,
  /** The task has exited; {@link EndCause} is the reason. */
  ENDED
}
