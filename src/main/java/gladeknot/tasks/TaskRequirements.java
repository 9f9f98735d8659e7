package gladeknot.tasks;

import gladeknot.jobs.JobSpec;
import java.util.List;

/**
 * What decides whether a machine takes a task of a job that is bound to no zones by its other
 * tasks. Many jobs share one value, so that one search of the machines serves all of them.
 */
public record TaskRequirements(
    long cpus,
    long gpus,
    long memory,
    List<String> machineTypes,
    String zone,
    boolean spotAllowed,
    boolean service) {
  /** The requirements of a job's tasks. */
  public static TaskRequirements of(JobSpec spec) {
    return new TaskRequirements(
        spec.cpus(),
        spec.gpus(),
        spec.memory(),
        spec.machineTypes(),
        spec.zone(),
        spec.spotAllowed(),
        spec.shape() == JobSpec.Shape.SERVICE);
  }
}
