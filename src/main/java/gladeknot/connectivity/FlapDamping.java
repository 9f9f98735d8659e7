package gladeknot.connectivity;

/**
 * Flap damping with a penalty that grows with each change and decays exponentially, as RFC 2439
 * defines it for routes. Something that changes too often is suppressed until the penalty has
 * fallen to the reuse limit. The penalty is bounded, so that suppression ends within a known time
 * after the last change.
 */
final class FlapDamping {
  /** The limits, in units of the penalty, the penalty's half-life and the longest suppression. */
  record Limits(
      double penaltyPerChange,
      double suppressAbove,
      double reuseBelow,
      long halfLifeMicros,
      long maxSuppressedMicros) {
    /** Returns the penalty that decays to the reuse limit in the longest time of suppression. */
    double maxPenalty() {
      return reuseBelow * Math.pow(2, (double) maxSuppressedMicros / halfLifeMicros);
    }
  }

  private final Limits limits;
  private double penalty;
  private long updatedMicros;
  private boolean suppressed;

  FlapDamping(Limits limits) {
    this.limits = limits;
  }

  /** Records a change. */
  void recordChange(long nowMicros) {
    penalty = Math.min(limits.maxPenalty(), penalty(nowMicros) + limits.penaltyPerChange());
    updatedMicros = nowMicros;
    suppressed |= penalty > limits.suppressAbove();
  }

  /** Returns the penalty, decayed to the given time. */
  double penalty(long nowMicros) {
    long ageMicros = Math.max(0, nowMicros - updatedMicros);
    return penalty * Math.pow(2, -(double) ageMicros / limits.halfLifeMicros());
  }

  /** Returns whether too many recent changes have led to suppression that has not ended yet. */
  boolean suppressed(long nowMicros) {
    if (suppressed && penalty(nowMicros) <= limits.reuseBelow()) {
      suppressed = false;
    }
    return suppressed;
  }
}
