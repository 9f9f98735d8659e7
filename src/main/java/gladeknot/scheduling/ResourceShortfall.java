package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Slice;

/** What a machine lacks for a task, less what the victims chosen so far would free. */
final class ResourceShortfall {
  private long cpus;
  private long gpus;
  private long memory;

  /** What the machine lacks once its terminating tasks have exited. */
  ResourceShortfall(CandidateMachine machine, JobSpec spec) {
    cpus = spec.cpus() - machine.cpusAfterTermination();
    gpus = spec.gpus() - machine.gpusAfterTermination();
    memory = spec.memory() - machine.memoryAfterTermination();
  }

  boolean isCovered() {
    return cpus <= 0 && gpus <= 0 && memory <= 0;
  }

  /** Whether one of a slice's tasks uses any of what is lacking. */
  boolean isReducedBy(Slice slice) {
    return (cpus > 0 && slice.cpus() > 0)
        || (gpus > 0 && slice.gpus() > 0)
        || (memory > 0 && slice.memory() > 0);
  }

  /** One of a slice's tasks becomes a victim. */
  void reduceBy(Slice slice) {
    cpus -= slice.cpus();
    gpus -= slice.gpus();
    memory -= slice.memory();
  }
}
