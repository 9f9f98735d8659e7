package gladeknot.state;

/** A bucket of tokens, filled at a steady rate up to one second's worth (or a given burst). */
public final class TokenBucket {
  private double ratePerMicro;
  private double burst;
  private double level;
  private long lastMicros;

  /** A full bucket. */
  public TokenBucket(double perSecond, double burst) {
    this.ratePerMicro = perSecond / 1e6;
    this.burst = burst;
    this.level = burst;
  }

  /** Changes the rate, and with it the burst of one second's worth. */
  void setRate(double perSecond, long nowMicros) {
    refill(nowMicros);
    ratePerMicro = perSecond / 1e6;
    burst = perSecond;
    level = Math.min(level, burst);
  }

  public double burst() {
    return burst;
  }

  private void refill(long nowMicros) {
    if (nowMicros > lastMicros) {
      level = Math.min(burst, level + (nowMicros - lastMicros) * ratePerMicro);
      lastMicros = nowMicros;
    }
  }

  /** How many tokens may be taken now if {@code keep} are to stay. */
  public double available(double keep, long nowMicros) {
    refill(nowMicros);
    return Math.max(0, level - keep);
  }

  /** Takes tokens if so many are there and {@code keep} stay for what matters more. */
  public boolean tryAcquire(double count, double keep, long nowMicros) {
    refill(nowMicros);
    // What is larger than the bucket may go once the bucket is full.
    if (level < Math.min(burst, count + keep)) {
      return false;
    }
    level -= count;
    return true;
  }

  /** Takes tokens in any case; for what must not wait, such as lease renewals. */
  public void forceAcquire(double count, long nowMicros) {
    refill(nowMicros);
    level = Math.max(-burst, level - count);
  }

  /** Empties the bucket after the service said that it was asked too often. */
  public void drain(long nowMicros) {
    refill(nowMicros);
    level = Math.min(level, 0);
  }
}
