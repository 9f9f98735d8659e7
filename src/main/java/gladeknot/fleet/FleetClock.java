package gladeknot.fleet;

/**
 * The time of the last tick, shared by the classes of this package. Replies that arrive between two
 * ticks are handled with the time of the last tick.
 */
final class FleetClock {
  private long nowMicros;
  private long wallMicros;

  /** Sets both clocks, in microseconds. */
  void advance(long newNowMicros, long newWallMicros) {
    nowMicros = newNowMicros;
    wallMicros = newWallMicros;
  }

  /** Returns the time of the steady clock, in microseconds. */
  long nowMicros() {
    return nowMicros;
  }

  /** Returns the time of day, in microseconds since the epoch. */
  long wallMicros() {
    return wallMicros;
  }
}
