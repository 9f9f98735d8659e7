package gladeknot.fleet;

/**
 * The time of the last tick, shared by the parts of the fleet; replies arrive between two ticks.
 */
final class FleetClock {
  private long nowMicros;
  private long wallMicros;

  /** Sets both clocks, in microseconds. */
  void advance(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
  }

  /** The steady clock, in microseconds. */
  long nowMicros() {
    return nowMicros;
  }

  /** The time of day, in microseconds since the epoch. */
  long wallMicros() {
    return wallMicros;
  }
}
