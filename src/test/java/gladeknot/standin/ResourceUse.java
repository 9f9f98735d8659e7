package gladeknot.standin;

import gladeknot.json.Json;
import gladeknot.settings.Settings;
import java.math.BigDecimal;
import java.util.Map;

/**
 * An amount of CPUs, GPUs and memory that tasks use or a machine has, in trillionths. Nothing is
 * rounded: an amount with more decimals is refused, so that sums are those of the users' numbers.
 *
 * @param cpus trillionths of a CPU
 * @param gpus trillionths of a GPU
 * @param memory trillionths of a GB
 */
record ResourceUse(long cpus, long gpus, long memory) {
  static final ResourceUse NONE = new ResourceUse(0, 0, 0);

  private static final int DECIMALS = 12;
  private static final double PER_UNIT = 1e12;

  /** Trillionths in the unit of the product, a billionth. */
  private static final long PER_PRODUCT_UNIT = 1_000;

  /** Converts whole CPUs and GPUs. */
  static ResourceUse of(long cpus, long gpus) {
    return of(BigDecimal.valueOf(cpus), BigDecimal.valueOf(gpus), BigDecimal.ZERO);
  }

  /** Converts amounts in the users' units: CPUs, GPUs and GB. */
  static ResourceUse of(BigDecimal cpus, BigDecimal gpus, BigDecimal memoryGb) {
    return new ResourceUse(exact(cpus), exact(gpus), exact(memoryGb));
  }

  /** Converts what a job says that each of its tasks needs. */
  static ResourceUse ofTask(Map<String, Object> job) {
    return of(
        Json.decimal(job, "cores"),
        Json.decimal(job, "accelerators"),
        Json.decimal(job, "memoryGb"));
  }

  /** Converts amounts of CPUs and GPUs in the product's unit. */
  static ResourceUse ofProductUnits(long cpus, long gpus) {
    return new ResourceUse(cpus * PER_PRODUCT_UNIT, gpus * PER_PRODUCT_UNIT, 0);
  }

  private static long exact(BigDecimal amount) {
    return amount.movePointRight(DECIMALS).longValueExact();
  }

  ResourceUse plus(ResourceUse other) {
    return new ResourceUse(cpus + other.cpus, gpus + other.gpus, memory + other.memory);
  }

  ResourceUse minus(ResourceUse other) {
    return new ResourceUse(cpus - other.cpus, gpus - other.gpus, memory - other.memory);
  }

  ResourceUse times(long count) {
    return new ResourceUse(cpus * count, gpus * count, memory * count);
  }

  /** Returns whether the CPUs or the GPUs are above a team's limit. */
  boolean exceeds(Settings.Team team) {
    ResourceUse limit = ofProductUnits(team.cpusMax(), team.gpusMax());
    return (team.limitsCpus() && cpus > limit.cpus) || (team.limitsGpus() && gpus > limit.gpus);
  }

  /** Returns whether the CPUs or the GPUs are above those of another amount. */
  boolean exceeds(ResourceUse other) {
    return cpus > other.cpus || gpus > other.gpus;
  }

  /** Returns whether no part of the amount is above that of another amount. */
  boolean fitsIn(ResourceUse other) {
    return cpus <= other.cpus && gpus <= other.gpus && memory <= other.memory;
  }

  /** Returns the number of times that another amount fits into this one. */
  long fits(ResourceUse amount) {
    long count = amount.cpus == 0 ? Long.MAX_VALUE : cpus / amount.cpus;
    count = amount.memory == 0 ? count : Math.min(count, memory / amount.memory);
    return amount.gpus == 0 ? count : Math.min(count, gpus / amount.gpus);
  }

  @Override
  public String toString() {
    return cpus / PER_UNIT + " CPUs " + gpus / PER_UNIT + " GPUs " + memory / PER_UNIT + " GB";
  }
}
