package gladeknot.connectivity;

/**
 * A penalty that grows with each change and decays exponentially, as RFC 2439 has it for routes:
 * what has changed too often is suppressed until the penalty has fallen to the reuse limit. The
 * penalty is bounded, so that suppression ends a known time after the last change.
 */
final class FlapDamping {
  /** The limits, in the penalty's own unit, and its half-life. */
  record Limits(
      double penaltyPerChange,
      double suppressAbove,
      double reuseBelow,
      long halfLifeMicros,
      long mostSuppressedMicros) {
    /** The penalty that decays to the reuse limit in the longest time of suppression. */
    double ceiling() {
      return reuseBelow * Math.pow(2, (double) mostSuppressedMicros / halfLifeMicros);
    }
  }

  private final Limits limits;
  private double penalty;
  private long atMicros;
  private boolean suppressed;

  FlapDamping(Limits limits) {
    this.limits = limits;
  }

  /** Notes one change. */
  void changed(long nowMicros) {
    penalty = Math.min(limits.ceiling(), penalty(nowMicros) + limits.penaltyPerChange());
    atMicros = nowMicros;
    suppressed |= penalty > limits.suppressAbove();
  }

  /** The penalty as it has decayed until now. */
  double penalty(long nowMicros) {
    long age = Math.max(0, nowMicros - atMicros);
    return penalty * Math.pow(2, -(double) age / limits.halfLifeMicros());
  }

  /** Whether there were too many changes of late. */
  boolean suppressed(long nowMicros) {
    if (suppressed && penalty(nowMicros) <= limits.reuseBelow()) {
      suppressed = false;
    }
    return suppressed;
  }
}
