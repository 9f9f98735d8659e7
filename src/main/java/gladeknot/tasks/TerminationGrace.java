package gladeknot.tasks;

import gladeknot.jobs.JobSpec;

/**
 * Computes the grace period of a termination, which is long enough for a last checkpoint if the job
 * makes checkpoints.
 */
public final class TerminationGrace {
  /**
   * Time added to that of a checkpoint, for the delivery of the kill command to the worker and for
   * the worker's clock.
   */
  private static final double MARGIN_SECONDS = 0.5;

  private static final double MICROS_PER_SECOND = 1e6;

  private TerminationGrace() {}

  /**
   * Returns the grace period for a task of a job, in seconds; 0 if the job makes no checkpoints.
   */
  public static double seconds(JobSpec spec) {
    return spec.checkpointIntervalMicros() == 0
        ? 0
        : spec.checkpointMicros() / MICROS_PER_SECOND + MARGIN_SECONDS;
  }
}
