package gladeknot.quota;

import com.google.common.math.LongMath;

/**
 * An amount of CPUs and GPUs, in billionths of one CPU or GPU; either may be negative. Results
 * beyond the range of a long stay at its limits.
 */
public record ResourceAmount(long cpus, long gpus) {
  /** No CPUs and no GPUs. */
  public static final ResourceAmount NONE = new ResourceAmount(0, 0);

  /** Returns an amount of CPUs and GPUs. */
  public static ResourceAmount of(long cpus, long gpus) {
    return new ResourceAmount(cpus, gpus);
  }

  /** Returns this amount less another one. */
  public ResourceAmount minus(ResourceAmount other) {
    return new ResourceAmount(
        LongMath.saturatedSubtract(cpus, other.cpus), LongMath.saturatedSubtract(gpus, other.gpus));
  }

  ResourceAmount plus(ResourceAmount other) {
    return new ResourceAmount(
        LongMath.saturatedAdd(cpus, other.cpus), LongMath.saturatedAdd(gpus, other.gpus));
  }

  /** Returns this amount a number of times. */
  public ResourceAmount times(long count) {
    return new ResourceAmount(
        LongMath.saturatedMultiply(cpus, count), LongMath.saturatedMultiply(gpus, count));
  }

  /** Returns this amount rounded down to a multiple of a unit. */
  ResourceAmount roundedDown(long unit) {
    return new ResourceAmount(Math.floorDiv(cpus, unit) * unit, Math.floorDiv(gpus, unit) * unit);
  }

  /** Returns this amount rounded up to a multiple of a unit. */
  ResourceAmount roundedUp(long unit) {
    return negated().roundedDown(unit).negated();
  }

  /** Returns whether neither amount is above zero. */
  boolean isAtMostZero() {
    return cpus <= 0 && gpus <= 0;
  }

  /** Returns whether at least one amount is above zero. */
  boolean isPositive() {
    return cpus > 0 || gpus > 0;
  }

  /** Returns this amount with 0 in place of what is negative. */
  public ResourceAmount atLeastZero() {
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
