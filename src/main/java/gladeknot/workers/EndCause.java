package gladeknot.workers;

/** Why a task has exited, as far as that makes a difference to the controllers. */
public enum EndCause {
  /** It completed. */
  SUCCEEDED,
  /** It failed, mostly because its machine is faulty. */
  FAILED,
  /** The worker refused the start: not enough free resources. */
  INSUFFICIENT_RESOURCES,
  /** The worker refused the start: another attempt at the task is on the machine. */
  TASK_ALREADY_PRESENT,
  /** The worker refused the start: the job has no such task, or was not submitted yet. */
  UNKNOWN_TASK,
  /**
   * Any other: stopped by command, another task of the gang is gone, the gang was not complete in
   * time, no cause was given, or one that this version does not know.
   */
  OTHER
}
