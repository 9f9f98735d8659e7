package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.MachineType;
import gladeknot.workers.TaskSize;
import gladeknot.workers.Worker;

/**
 * A machine in one scheduling cycle, with its free resources and the resources that terminating
 * tasks still use. CPUs, GPUs and memory are in billionths of a CPU, a GPU and a GB.
 */
final class CandidateMachine {
  /** More tasks than can start on a machine in one cycle. */
  private static final int MAX_STARTS = Integer.MAX_VALUE / 2;

  private final Worker worker;
  private final MachineType type;
  private final long nowMicros;
  private long freeCpus;
  private long freeGpus;
  private long freeMemory;
  private long terminatingCpus;
  private long terminatingGpus;
  private long terminatingMemory;

  /** Number of tasks that may still start on the machine. */
  private int remainingStarts = MAX_STARTS;

  private CandidateMachine(Worker worker, MachineType type, long nowMicros) {
    this.worker = worker;
    this.type = type;
    this.nowMicros = nowMicros;
    this.freeCpus = type.cpus();
    this.freeGpus = type.gpus();
    this.freeMemory = type.memory();
  }

  /**
   * Creates a candidate from a worker's machine. The resources of the worker's open attempts are
   * not free. If the last heartbeat reports a running attempt that is not known here, no CPU is
   * free.
   */
  static CandidateMachine of(Worker worker, MachineType type, long nowMicros) {
    CandidateMachine machine = new CandidateMachine(worker, type, nowMicros);
    for (Attempt attempt : worker.attempts().values()) {
      if (!attempt.closed()) {
        Slice slice = attempt.slice();
        machine.allocate(slice.cpus(), slice.gpus(), slice.memory());
        if (attempt.killRequested()) {
          machine.addTerminating(slice);
        }
      }
    }
    if (worker.heartbeat() != null && machine.runsUnknownTask()) {
      // The resources that an unknown task uses are not known here. The task is being killed, and
      // nothing starts on the machine until it is gone.
      machine.freeCpus = 0;
    }
    machine.remainingStarts = worker.isCordoned() ? 1 : MAX_STARTS;
    return machine;
  }

  /** Creates a candidate that may be chosen for tasks that the machine has refused lately. */
  static CandidateMachine of(Worker worker, MachineType type) {
    return of(worker, type, Long.MAX_VALUE);
  }

  private boolean runsUnknownTask() {
    for (Heartbeat.TaskStatus task : worker.heartbeat().tasks()) {
      Attempt attempt = worker.attempts().get(task.name());
      if (!task.ended() && (attempt == null || attempt.number() != task.attempt())) {
        return true;
      }
    }
    return false;
  }

  Worker worker() {
    return worker;
  }

  MachineType type() {
    return type;
  }

  String zone() {
    return worker.zone();
  }

  /** Returns the free fraction of the machine's CPUs; negative if CPUs are overallocated. */
  double freeCpuFraction() {
    return (double) freeCpus / type.cpus();
  }

  /** Adds a task of a slice to the terminating tasks. Its resources stay allocated. */
  void addTerminating(Slice slice) {
    terminatingCpus += slice.cpus();
    terminatingGpus += slice.gpus();
    terminatingMemory += slice.memory();
  }

  /** Allocates the resources of one task. */
  void allocate(long cpus, long gpus, long memory) {
    remainingStarts--;
    freeCpus -= cpus;
    freeGpus -= gpus;
    freeMemory -= memory;
  }

  /** Allocates the resources of one task of a job. */
  void allocate(JobSpec spec) {
    allocate(spec.cpus(), spec.gpus(), spec.memory());
  }

  /** Releases the resources of one task of a job. */
  void release(JobSpec spec) {
    remainingStarts++;
    freeCpus += spec.cpus();
    freeGpus += spec.gpus();
    freeMemory += spec.memory();
  }

  /** Returns the number of tasks of a job that fit into the free resources. */
  int capacityFor(JobSpec spec) {
    if (freeCpus < spec.cpus()
        || freeGpus < spec.gpus()
        || freeMemory < spec.memory()
        || refuses(spec)) {
      return 0;
    }
    long count = Math.min(freeCpus / spec.cpus(), freeMemory / spec.memory());
    if (spec.gpus() > 0) {
      count = Math.min(count, freeGpus / spec.gpus());
    }
    return (int) Math.min(count, Math.max(0, remainingStarts));
  }

  /** Returns whether a task of a job fits once the terminating tasks have exited. */
  boolean fitsAfterTermination(JobSpec spec) {
    return cpusAfterTermination() >= spec.cpus()
        && gpusAfterTermination() >= spec.gpus()
        && memoryAfterTermination() >= spec.memory()
        && !refuses(spec);
  }

  /** Returns whether the machine has refused such a task lately. */
  private boolean refuses(JobSpec spec) {
    return !worker.refusedSizes().isEmpty()
        && worker.refusedSizes().excludes(TaskSize.of(spec), nowMicros);
  }

  long cpusAfterTermination() {
    return freeCpus + terminatingCpus;
  }

  long gpusAfterTermination() {
    return freeGpus + terminatingGpus;
  }

  long memoryAfterTermination() {
    return freeMemory + terminatingMemory;
  }
}
