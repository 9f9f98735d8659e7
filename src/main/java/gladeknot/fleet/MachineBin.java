package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.workers.MachineType;

/** A machine, there or requested, as a bin that tasks are packed into; empty at first. */
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
   * A machine that there is.
   *
   * @param replicas how many replicas of services run on it, which stay until their jobs end
   */
  static MachineBin ofWorker(
      String host, MachineType type, String zone, boolean spot, int replicas) {
    return new MachineBin(host, type, zone, spot, replicas);
  }

  /** An instance that is requested. */
  static MachineBin ofRequested(InstanceOffering offering) {
    return new MachineBin("", offering.type(), offering.zone(), offering.spot(), 0);
  }

  /** The machine's name; empty for a requested instance. */
  String host() {
    return host;
  }

  String zone() {
    return zone;
  }

  int replicas() {
    return replicas;
  }

  /** Whether a task was packed into it. */
  boolean used() {
    return used;
  }

  boolean hasGpus() {
    return type.gpus() > 0;
  }

  double pricePerCpu() {
    return type.price(spot) / type.cpus();
  }

  /** Whether a task may run here and fits in what is free. */
  boolean fits(JobSpec spec) {
    return spec.allowsMachine(type.name(), zone, spot)
        && freeCpus >= spec.cpus()
        && freeGpus >= spec.gpus()
        && freeMemory >= spec.memory();
  }

  /** Packs one task; false if it doesn't fit. */
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
