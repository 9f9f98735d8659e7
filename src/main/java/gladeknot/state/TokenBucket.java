package gladeknot.state;

/** A token bucket that is refilled at a steady rate up to a burst size. */
public final class TokenBucket {
  private double ratePerMicro;
  private double burst;
  private double level;
  private long lastMicros;

  /** Creates a full bucket. */
  public TokenBucket(double perSecond, double burst) {
    this.ratePerMicro = perSecond / 1e6;
    this.burst = burst;
    this.level = burst;
  }

  /** Changes the rate, and sets the burst size to the tokens of one second. */
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

  /** Returns the number of tokens that can be taken now if {@code reserved} tokens must remain. */
  public double available(double reserved, long nowMicros) {
    refill(nowMicros);
    return Math.max(0, level - reserved);
  }

  /**
   * Takes tokens if enough are available and {@code reserved} tokens remain for more urgent uses.
   *
   * @return whether the tokens were taken
   */
  public boolean tryAcquire(double count, double reserved, long nowMicros) {
    boolean enough = canAcquire(count, reserved, nowMicros);
    if (enough) {
      level -= count;
    }
    return enough;
  }

  /** Returns whether {@link #tryAcquire} would take the tokens now. */
  boolean canAcquire(double count, double reserved, long nowMicros) {
    refill(nowMicros);
    // A request for more tokens than the bucket can hold is granted once the bucket is full.
    return level >= Math.min(burst, count + reserved);
  }

  /**
   * Takes tokens even if not enough are available, for requests that must not wait, such as lease
   * renewals.
   */
  public void forceAcquire(double count, long nowMicros) {
    refill(nowMicros);
    level = Math.max(-burst, level - count);
  }

  /** Empties the bucket after the service has reported too many requests. */
  public void drain(long nowMicros) {
    refill(nowMicros);
    level = Math.min(level, 0);
  }
}
