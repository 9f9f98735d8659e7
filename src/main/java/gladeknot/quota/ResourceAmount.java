package gladeknot.quota;

/** An amount of CPUs and GPUs, in thousandths of one CPU or GPU; either may be negative. */
public record ResourceAmount(long cpus, long gpus) {
  /** No CPUs and no GPUs. */
  public static final ResourceAmount NONE = new ResourceAmount(0, 0);

  ResourceAmount minus(ResourceAmount other) {
    return new ResourceAmount(cpus - other.cpus, gpus - other.gpus);
  }

  ResourceAmount plus(ResourceAmount other) {
    return new ResourceAmount(cpus + other.cpus, gpus + other.gpus);
  }

  /** Returns whether neither amount is above zero. */
  boolean isAtMostZero() {
    return cpus <= 0 && gpus <= 0;
  }

  /** Returns whether at least one amount is above zero. */
  boolean isPositive() {
    return cpus > 0 || gpus > 0;
  }

  ResourceAmount atLeastZero() {
    return new ResourceAmount(Math.max(0, cpus), Math.max(0, gpus));
  }

  ResourceAmount negated() {
    return new ResourceAmount(-cpus, -gpus);
  }

  /** Returns the component-wise maximum. */
  ResourceAmount max(ResourceAmount other) {
    return new ResourceAmount(Math.max(cpus, other.cpus), Math.max(gpus, other.gpus));
  }

  /** Returns the component-wise minimum. */
  ResourceAmount min(ResourceAmount other) {
    return new ResourceAmount(Math.min(cpus, other.cpus), Math.min(gpus, other.gpus));
  }
}
