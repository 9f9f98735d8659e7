package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Slice;

/** Resources that a machine lacks for a task, less those that the chosen victims would free. */
final class ResourceShortfall {
  private long cpus;
  private long gpus;
  private long memory;

  /** Computes the resources that the machine lacks once its terminating tasks have exited. */
  ResourceShortfall(CandidateMachine machine, JobSpec spec) {
    cpus = spec.cpus() - machine.cpusAfterTermination();
    gpus = spec.gpus() - machine.gpusAfterTermination();
    memory = spec.memory() - machine.memoryAfterTermination();
  }

  boolean isCovered() {
    return cpus <= 0 && gpus <= 0 && memory <= 0;
  }

  /** Returns whether a task of a slice uses any of the lacking resources. */
  boolean isReducedBy(Slice slice) {
    return (cpus > 0 && slice.cpus() > 0)
        || (gpus > 0 && slice.gpus() > 0)
        || (memory > 0 && slice.memory() > 0);
  }

  /** Subtracts the resources of a task of a slice, which becomes a victim. */
  void reduceBy(Slice slice) {
    cpus -= slice.cpus();
    gpus -= slice.gpus();
    memory -= slice.memory();
  }
}
