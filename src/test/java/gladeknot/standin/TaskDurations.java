package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.MICROS_PER_SECOND;

/** Durations of tasks, by the names of their jobs. */
final class TaskDurations {
  private static final long FOREVER_MICROS = Long.MAX_VALUE / 4;
  private static final long FIRST_STAGGERED_SECONDS = 2;
  private static final long STAGGER_SECONDS = 18;

  private long defaultMicros = 6 * MICROS_PER_SECOND;

  /** Sets the duration of the tasks that end by themselves, in microseconds. */
  void setDefault(long micros) {
    defaultMicros = micros;
  }

  /**
   * Returns the duration of a task in microseconds. Replicas of services run until they are
   * stopped; the tasks of "req-far" jobs end far apart.
   */
  long of(String task) {
    if (task.startsWith("req-far")) {
      int index = Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
      return (FIRST_STAGGERED_SECONDS + STAGGER_SECONDS * index) * MICROS_PER_SECOND;
    }
    boolean isService =
        task.startsWith("req-web") || task.startsWith("req-gone") || task.startsWith("req-cut");
    return isService ? FOREVER_MICROS : defaultMicros;
  }
}
