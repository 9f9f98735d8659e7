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
  /** The walk over the whole fleet is made anew so often, not for each job that comes or ends. */
  private static final long COUNT_MICROS = 1_000_000;

  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final MachineTypes types;
  private long cpus;
  private long gpus;
  private long nextCountMicros;

  DeadlineCapacity(JobRegistry jobs, WorkerRegistry workers, MachineTypes types) {
    this.jobs = jobs;
    this.workers = workers;
    this.types = types;
  }

  /** How many tasks of a job could be at work at once. */
  int taskSlots(JobSpec spec, long nowMicros, long wallMicros) {
    if (nowMicros >= nextCountMicros) {
      nextCountMicros = nowMicros + COUNT_MICROS;
      count(wallMicros);
    }
    long places = spec.gpus() > 0 ? gpus / spec.gpus() : cpus / spec.cpus();
    return (int) Math.max(0, Math.min(places, Integer.MAX_VALUE));
  }

  private void count(long wallMicros) {
    cpus = 0;
    gpus = 0;
    for (Worker worker : workers.all()) {
      MachineType type = types.get(worker.type());
      if (worker.registered() && !worker.terminating() && type != null) {
        count(worker, type, wallMicros);
      }
    }
  }

  private void count(Worker worker, MachineType type, long wallMicros) {
    // A machine that should long since be up and has nothing on it while work waits is of no use.
    boolean coming = wallMicros - worker.launchedWallMicros() < 2 * type.readyMicros();
    if (coming || !worker.attempts().isEmpty()) {
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
