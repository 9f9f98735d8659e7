package gladeknot.scheduling;

import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;

/** What is free on a machine, while starts are being decided. */
final class CandidateMachine {
  final Worker worker;
  final MachineType type;

  /** Free now. */
  long freeCpus;

  long freeGpus;
  long freeMemory;

  /** Held by tasks that have been told to stop. */
  long terminatingCpus;

  long terminatingGpus;
  long terminatingMemory;

  private CandidateMachine(Worker worker, MachineType type) {
    this.worker = worker;
    this.type = type;
    this.freeCpus = type.cpus();
    this.freeGpus = type.gpus();
    this.freeMemory = type.memory();
  }

  /** The room that attempts leave, and tasks on the machine that are no attempts of ours. */
  static CandidateMachine of(Worker worker, MachineType type) {
    CandidateMachine room = new CandidateMachine(worker, type);
    for (Attempt a : worker.attempts().values()) {
      if (!a.closed()) {
        room.allocate(a.slice().cpus(), a.slice().gpus(), a.slice().memory());
        if (a.killRequested()) {
          room.addTerminating(a.slice());
        }
      }
    }
    if (worker.heartbeat() != null) {
      for (Heartbeat.TaskStatus t : worker.heartbeat().tasks()) {
        Attempt a = worker.attempts().get(t.name());
        if (!t.ended() && (a == null || a.number() != t.attempt())) {
          // What a stray takes is not known here; it is being killed, nothing starts until then.
          room.freeCpus = 0;
        }
      }
    }
    return room;
  }

  void addTerminating(Slice s) {
    terminatingCpus += s.cpus();
    terminatingGpus += s.gpus();
    terminatingMemory += s.memory();
  }

  void allocate(long c, long g, long m) {
    freeCpus -= c;
    freeGpus -= g;
    freeMemory -= m;
  }

  void allocate(JobSpec spec) {
    allocate(spec.cpus(), spec.gpus(), spec.memory());
  }

  int capacityFor(JobSpec spec) {
    if (freeCpus < spec.cpus() || freeGpus < spec.gpus() || freeMemory < spec.memory()) {
      return 0;
    }
    long n = Math.min(freeCpus / spec.cpus(), freeMemory / spec.memory());
    if (spec.gpus() > 0) {
      n = Math.min(n, freeGpus / spec.gpus());
    }
    return (int) n;
  }

  /** Whether a task fits once those that are stopping have gone. */
  boolean fitsAfterTermination(JobSpec spec) {
    return freeCpus + terminatingCpus >= spec.cpus()
        && freeGpus + terminatingGpus >= spec.gpus()
        && freeMemory + terminatingMemory >= spec.memory();
  }

  boolean satisfiesConstraints(JobSpec spec) {
    return spec.allowsMachine(worker.type(), worker.zone(), worker.spot());
  }
}
