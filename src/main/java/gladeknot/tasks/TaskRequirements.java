package gladeknot.tasks;

import gladeknot.jobs.JobSpec;
import java.util.List;

/**
 * The requirements that decide whether a machine can run a task, apart from zone constraints that
 * depend on the job's other tasks. Many jobs have equal requirements, so that one search for
 * machines serves all of them.
 */
public record TaskRequirements(
    long cpus,
    long gpus,
    long memory,
    List<String> machineTypes,
    String zone,
    boolean spotAllowed,
    boolean service) {
  /** Returns the requirements of a job's tasks. */
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
