package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Attempt;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;

/**
 * Resources of the fleet that are available to jobs with deadlines: those of the machines less what
 * jobs without deadlines use. For jobs that require GPUs, the GPUs of machines with GPUs count. For
 * all other jobs, the CPUs of machines without GPUs count.
 */
final class DeadlineCapacity {
  /**
   * Minimum interval between two passes over the whole fleet, in microseconds. A pass for each job
   * that is submitted or ends would be too frequent.
   */
  private static final long REFRESH_INTERVAL_MICROS = 1_000_000;

  /** Multiple of the machine type's boot time for which a launched machine counts as booting. */
  private static final int BOOT_TIME_FACTOR = 2;

  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final MachineTypes types;
  private long cpus;
  private long gpus;
  private long nextRefreshMicros;

  DeadlineCapacity(JobRegistry jobs, WorkerRegistry workers, MachineTypes types) {
    this.jobs = jobs;
    this.workers = workers;
    this.types = types;
  }

  /** Returns the number of tasks of a job that could run at once; never negative. */
  int taskSlots(JobSpec spec, long nowMicros, long wallMicros) {
    if (nowMicros >= nextRefreshMicros) {
      nextRefreshMicros = nowMicros + REFRESH_INTERVAL_MICROS;
      refresh(wallMicros);
    }
    long slots = spec.gpus() > 0 ? gpus / spec.gpus() : cpus / spec.cpus();
    return (int) Math.max(0, Math.min(slots, Integer.MAX_VALUE));
  }

  private void refresh(long wallMicros) {
    cpus = 0;
    gpus = 0;
    for (Worker worker : workers.all()) {
      MachineType type = types.get(worker.type());
      if (worker.registered() && !worker.terminating() && type != null) {
        addWorker(worker, type, wallMicros);
      }
    }
  }

  private void addWorker(Worker worker, MachineType type, long wallMicros) {
    // A machine that should have booted by now but runs no task while tasks are pending does not
    // count: the pending tasks can't use it.
    boolean booting =
        wallMicros - worker.launchedWallMicros() < BOOT_TIME_FACTOR * type.bootMicros();
    if (booting || !worker.attempts().isEmpty()) {
      add(type, type.cpus(), type.gpus());
    }
    for (Attempt attempt : worker.attempts().values()) {
      Job job = attempt.closed() ? null : jobs.active(attempt.slice().job());
      if (job != null && job.spec().deadlineMicros() == 0) {
        add(type, -attempt.slice().cpus(), -attempt.slice().gpus());
      }
    }
  }

  private void add(MachineType type, long addedCpus, long addedGpus) {
    if (type.gpus() > 0) {
      gpus += addedGpus;
    } else {
      cpus += addedCpus;
    }
  }
}
