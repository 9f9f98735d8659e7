package gladeknot.tasks;

import gladeknot.jobs.JobSpec;

/** The grace period of a termination: long enough for a last checkpoint of jobs that make some. */
public final class TerminationGrace {
  /** Added to the checkpoint's time for the command's way to the worker and the worker's clock. */
  private static final double MARGIN_S = 0.5;

  private static final double MICROS_PER_SECOND = 1e6;

  private TerminationGrace() {}

  /** The grace period for a task of a job, in seconds; 0 if the job makes no checkpoints. */
  public static double seconds(JobSpec spec) {
    return spec.checkpointIntervalMicros() == 0
        ? 0
        : spec.checkpointMicros() / MICROS_PER_SECOND + MARGIN_S;
  }
}
