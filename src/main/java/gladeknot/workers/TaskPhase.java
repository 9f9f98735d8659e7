package gladeknot.workers;

/** What a task that a worker lists is doing. */
public enum TaskPhase {
  /** It waits for its image. */
  FETCHING,
  /** A task of a gang that waits for the gang's other tasks. */
  WAITING,
  /** It runs. A phase that this version does not know counts as this one. */
  RUNNING,
  /** It was stopped and saves its progress. */
  SAVING,
  /** It has exited; the {@link EndCause} says why. */
  ENDED
}
