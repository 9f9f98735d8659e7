package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.SECOND;

/** How long tasks run, by the names of their jobs. */
final class TaskDurations {
  private static final long FOREVER = Long.MAX_VALUE / 4;
  private static final long FIRST_STAGGERED_S = 2;
  private static final long STAGGER_S = 18;

  private long usual = 6 * SECOND;

  /** Sets how long tasks run that end by themselves. */
  void setUsual(long micros) {
    usual = micros;
  }

  /** Replicas run until they are stopped, the tasks of "req-far" jobs end far apart. */
  long of(String task) {
    if (task.startsWith("req-far")) {
      int index = Integer.parseInt(task.substring(task.lastIndexOf('/') + 1));
      return (FIRST_STAGGERED_S + STAGGER_S * index) * SECOND;
    }
    boolean service =
        task.startsWith("req-web") || task.startsWith("req-gone") || task.startsWith("req-cut");
    return service ? FOREVER : usual;
  }
}
