package gladeknot.lifecycle;

import gladeknot.jobs.JobSpec;

/** How long a task that is stopped may take to save its progress. */
public final class GracePeriod {
  private static final double MICROS_PER_SECOND = 1e6;

  /** Added to what the job asks for: the command takes time on its way, and clocks drift. */
  private static final double MARGIN_SECONDS = 0.5;

  private GracePeriod() {}

  /** The grace period of a job's tasks in seconds: 0 if they save no checkpoints. */
  public static double seconds(JobSpec spec) {
    if (spec.checkpointIntervalMicros() == 0) {
      return 0;
    }
    return spec.checkpointMicros() / MICROS_PER_SECOND + MARGIN_SECONDS;
  }
}
