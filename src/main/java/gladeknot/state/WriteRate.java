package gladeknot.state;

/**
 * The share of the service's writes that this controller may use: up to a generous part while the
 * service takes them, less each time it says that all controllers together were too many, never
 * less than an even part, and slowly more again.
 */
final class WriteRate {
  /** What is left of the share after a refusal. */
  private static final double DECREASE = 0.75;

  /** How much of the generous share comes back in a second. */
  private static final double INCREASE_A_SECOND = 0.03;

  /** Refusals that follow one another this closely tell of one excess. */
  private static final long SAME_MICROS = 500_000;

  private static final double MICROS = 1e6;

  private final double even;
  private final double generous;
  private double share;
  private long refusedMicros = Long.MIN_VALUE / 2;
  private long lastMicros;

  WriteRate(double even, double generous) {
    this.even = even;
    this.generous = generous;
    this.share = generous;
  }

  /** The share at present. */
  double share(long nowMicros) {
    if (nowMicros > lastMicros) {
      double more = generous * INCREASE_A_SECOND * (nowMicros - lastMicros) / MICROS;
      share = Math.min(generous, share + more);
      lastMicros = nowMicros;
    }
    return share;
  }

  /** The service was asked for too many writes. */
  void refused(long nowMicros) {
    if (nowMicros - refusedMicros >= SAME_MICROS) {
      refusedMicros = nowMicros;
      share = Math.max(even, share(nowMicros) * DECREASE);
    }
  }
}
