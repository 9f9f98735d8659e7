package gladeknot.placement;

import gladeknot.fleet.MachineType;
import gladeknot.jobs.JobSpec;
import gladeknot.workers.Report;
import gladeknot.workers.Worker;

/** What is free on a machine, while starts are being decided. */
final class Room {
  final Worker worker;
  final MachineType type;

  /** Free now. */
  long cpus;

  long gpus;
  long memory;

  /** Held by tasks that have been told to stop. */
  long stoppingCpus;

  long stoppingGpus;
  long stoppingMemory;

  private Room(Worker worker, MachineType type) {
    this.worker = worker;
    this.type = type;
    this.cpus = type.cpus();
    this.gpus = type.gpus();
    this.memory = type.memory();
  }

  /** The room that attempts leave, and tasks on the machine that are no attempts of ours. */
  static Room of(Worker worker, MachineType type) {
    Room room = new Room(worker, type);
    for (Attempt a : worker.attempts().values()) {
      if (!a.closed) {
        room.take(a.slice().cpus(), a.slice().gpus(), a.slice().memory());
        if (a.killed()) {
          room.stopping(a.slice());
        }
      }
    }
    if (worker.report() != null) {
      for (Report.Task t : worker.report().tasks()) {
        Attempt a = worker.attempts().get(t.name());
        if (!t.ended() && (a == null || a.number() != t.number())) {
          // What a stray takes is not known here; it is being killed, nothing starts until then.
          room.cpus = 0;
        }
      }
    }
    return room;
  }

  void stopping(Slice s) {
    stoppingCpus += s.cpus();
    stoppingGpus += s.gpus();
    stoppingMemory += s.memory();
  }

  void take(long c, long g, long m) {
    cpus -= c;
    gpus -= g;
    memory -= m;
  }

  void take(JobSpec spec) {
    take(spec.cpus(), spec.gpus(), spec.memory());
  }

  int fits(JobSpec spec) {
    if (cpus < spec.cpus() || gpus < spec.gpus() || memory < spec.memory()) {
      return 0;
    }
    long n = Math.min(cpus / spec.cpus(), memory / spec.memory());
    if (spec.gpus() > 0) {
      n = Math.min(n, gpus / spec.gpus());
    }
    return (int) n;
  }

  /** Whether a task fits once those that are stopping have gone. */
  boolean fitsSoon(JobSpec spec) {
    return cpus + stoppingCpus >= spec.cpus()
        && gpus + stoppingGpus >= spec.gpus()
        && memory + stoppingMemory >= spec.memory();
  }

  boolean allows(JobSpec spec) {
    return spec.allows(worker.type(), worker.zone(), worker.spot());
  }
}
