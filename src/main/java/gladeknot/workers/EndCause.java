package gladeknot.workers;

/** Reason for which a task exited, as far as the controllers distinguish reasons. */
public enum EndCause {
  /** The task completed. */
  SUCCEEDED,
  /** The task failed, mostly because its machine is faulty. */
  FAILED,
  /** The worker refused the start: not enough free resources. */
  INSUFFICIENT_RESOURCES,
  /** The worker refused the start: another attempt at the task is on the machine. */
  TASK_ALREADY_PRESENT,
  /** The worker refused the start: the job has no such task, or was not submitted yet. */
  UNKNOWN_TASK,
  /**
   * Any other reason: the task was stopped by command, another task of its gang was gone, its gang
   * was not complete in time, the worker gave no cause, or this version does not know the cause.
   */
  OTHER
}
