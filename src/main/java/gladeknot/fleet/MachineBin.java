package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.workers.MachineType;

/** A registered or requested machine as a bin that tasks are packed into, initially empty. */
final class MachineBin {
  private final String host;
  private final MachineType type;
  private final String zone;
  private final boolean spot;
  private final int replicas;
  private long freeCpus;
  private long freeGpus;
  private long freeMemory;
  private boolean used;

  private MachineBin(String host, MachineType type, String zone, boolean spot, int replicas) {
    this.host = host;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.replicas = replicas;
    this.freeCpus = type.cpus();
    this.freeGpus = type.gpus();
    this.freeMemory = type.memory();
  }

  /**
   * Returns a bin for a registered worker.
   *
   * @param replicas the number of replicas of services that run on it; they stay until their jobs
   *     end
   */
  static MachineBin ofWorker(
      String host, MachineType type, String zone, boolean spot, int replicas) {
    return new MachineBin(host, type, zone, spot, replicas);
  }

  /** Returns a bin for a requested instance. */
  static MachineBin ofRequested(InstanceOffering offering) {
    return new MachineBin("", offering.type(), offering.zone(), offering.spot(), 0);
  }

  /** Returns the machine's host name; empty for a requested instance. */
  String host() {
    return host;
  }

  String zone() {
    return zone;
  }

  int replicas() {
    return replicas;
  }

  /** Returns whether a task was packed into this bin. */
  boolean used() {
    return used;
  }

  boolean hasGpus() {
    return type.gpus() > 0;
  }

  double pricePerCpu() {
    return type.price(spot) / type.cpus();
  }

  /** Returns whether a task may run on this machine and fits in its free resources. */
  boolean fits(JobSpec spec) {
    return spec.allowsMachine(type.name(), zone, spot)
        && type.mayRun(spec)
        && freeCpus >= spec.cpus()
        && freeGpus >= spec.gpus()
        && freeMemory >= spec.memory();
  }

  /** Packs one task. Returns false if it doesn't fit. */
  boolean add(JobSpec spec) {
    if (!fits(spec)) {
      return false;
    }
    freeCpus -= spec.cpus();
    freeGpus -= spec.gpus();
    freeMemory -= spec.memory();
    used = true;
    return true;
  }
}
