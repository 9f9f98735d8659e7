package gladeknot.standin;

import gladeknot.settings.Settings;

/**
 * An amount of CPUs and GPUs that tasks use or a machine has, in thousandths.
 *
 * @param cpus thousandths of a CPU
 * @param gpus thousandths of a GPU
 */
record ResourceUse(long cpus, long gpus) {
  static final ResourceUse NONE = new ResourceUse(0, 0);

  private static final double THOUSANDTHS_PER_UNIT = 1000;

  /** Converts amounts in the users' unit, whole CPUs and GPUs. */
  static ResourceUse of(double cpus, double gpus) {
    return new ResourceUse(
        Math.round(cpus * THOUSANDTHS_PER_UNIT), Math.round(gpus * THOUSANDTHS_PER_UNIT));
  }

  ResourceUse plus(ResourceUse other) {
    return new ResourceUse(cpus + other.cpus, gpus + other.gpus);
  }

  ResourceUse minus(ResourceUse other) {
    return new ResourceUse(cpus - other.cpus, gpus - other.gpus);
  }

  ResourceUse times(long count) {
    return new ResourceUse(cpus * count, gpus * count);
  }

  /** Returns whether the CPUs or the GPUs are above a team's limit. */
  boolean exceeds(Settings.Team team) {
    return (team.limitsCpus() && cpus > team.cpusMax())
        || (team.limitsGpus() && gpus > team.gpusMax());
  }

  /** Returns whether the CPUs or the GPUs are above those of another amount. */
  boolean exceeds(ResourceUse other) {
    return cpus > other.cpus || gpus > other.gpus;
  }

  /** Returns the number of times that another amount fits into this one. */
  long fits(ResourceUse amount) {
    long count = amount.cpus == 0 ? Long.MAX_VALUE : cpus / amount.cpus;
    return amount.gpus == 0 ? count : Math.min(count, gpus / amount.gpus);
  }

  @Override
  public String toString() {
    return cpus / THOUSANDTHS_PER_UNIT + " CPUs " + gpus / THOUSANDTHS_PER_UNIT + " GPUs";
  }
}
