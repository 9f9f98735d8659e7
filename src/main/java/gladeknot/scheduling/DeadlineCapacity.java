package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Attempt;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;

/**
 * How much of the fleet serves jobs with deadlines, or could: the machines' resources less what all
 * other jobs use. Jobs that need GPUs are counted by the GPUs of the machines that have some, all
 * others by the CPUs of the machines without.
 */
final class DeadlineCapacity {
  /** The whole fleet is visited so often only, not for each job that is submitted or ends. */
  private static final long REFRESH_MICROS = 1_000_000;

  /** A launched machine counts as coming for so many times the time its type needs to get ready. */
  private static final int READY_TIMES = 2;

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

  /** How many tasks of a job could run at once; 0 or more. */
  int taskSlots(JobSpec spec, long nowMicros, long wallMicros) {
    if (nowMicros >= nextRefreshMicros) {
      nextRefreshMicros = nowMicros + REFRESH_MICROS;
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
    // A machine that should be ready by now and runs nothing while work is pending is of no use.
    boolean launching = wallMicros - worker.launchedWallMicros() < READY_TIMES * type.bootMicros();
    if (launching || !worker.attempts().isEmpty()) {
      add(type, type.cpus(), type.gpus());
    }
    for (Attempt attempt : worker.attempts().values()) {
      Job job = attempt.closed() ? null : jobs.active(attempt.slice().job());
      if (job != null && job.spec().deadlineMicros() == 0) {
        add(type, -attempt.slice().cpus(), -attempt.slice().gpus());
      }
    }
  }

  private void add(MachineType type, long moreCpus, long moreGpus) {
    if (type.gpus() > 0) {
      gpus += moreGpus;
    } else {
      cpus += moreCpus;
    }
  }
}
