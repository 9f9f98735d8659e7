package gladeknot.workers;

import gladeknot.jobs.JobSpec;

/**
 * The resources that a task needs.
 *
 * @param cpus CPUs, in billionths
 * @param gpus GPUs, in billionths
 * @param memory memory, in billionths of a GB
 */
public record TaskSize(long cpus, long gpus, long memory) {
  /** Returns the resources that each task of a job needs. */
  public static TaskSize of(JobSpec spec) {
    return new TaskSize(spec.cpus(), spec.gpus(), spec.memory());
  }
}
