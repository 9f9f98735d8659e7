package gladeknot.fleet;

import gladeknot.workers.MachineType;

/** A machine type in a zone, spot or on demand, with its backoff after failed requests. */
final class InstanceOffering {
  /**
   * Base of the backoff after a refusal. It is doubled for each consecutive refusal, including the
   * first one, at most {@link #MAX_DOUBLINGS} times.
   */
  private static final long BASE_BACKOFF_MICROS = 5_000_000;

  private static final int MAX_DOUBLINGS = 2;

  /** Backoff after an outage of the cloud, in microseconds. */
  private static final long OUTAGE_BACKOFF_MICROS = 3_000_000;

  private MachineType type;
  private final String zone;
  private final boolean spot;
  private long backoffUntilMicros;
  private int consecutiveRefusals;

  InstanceOffering(MachineType type, String zone, boolean spot) {
    this.type = type;
    this.zone = zone;
    this.spot = spot;
  }

  MachineType type() {
    return type;
  }

  String zone() {
    return zone;
  }

  boolean spot() {
    return spot;
  }

  /** Returns the price per hour. */
  double price() {
    return type.price(spot);
  }

  /** Updates the type to the cloud's current listing. The backoff stays. */
  void updateType(MachineType listed) {
    type = listed;
  }

  /** Returns whether this offering may be requested, that is, is not in backoff. */
  boolean isAvailable(long nowMicros) {
    return nowMicros >= backoffUntilMicros;
  }

  /** Starts a backoff because the cloud lacks some or all of the requested instances. */
  void onRefused(long nowMicros) {
    consecutiveRefusals = Math.min(consecutiveRefusals + 1, MAX_DOUBLINGS);
    backoffUntilMicros = nowMicros + (BASE_BACKOFF_MICROS << consecutiveRefusals);
  }

  /** Starts a backoff because the cloud had an outage. Counts as one refusal. */
  void onOutage(long nowMicros) {
    consecutiveRefusals = 1;
    backoffUntilMicros = nowMicros + OUTAGE_BACKOFF_MICROS;
  }

  /** Ends the backoff because a request was fulfilled. */
  void onFulfilled() {
    consecutiveRefusals = 0;
    backoffUntilMicros = 0;
  }

  /** Returns the name of the offering in the catalogue and in log lines. */
  @Override
  public String toString() {
    return type.name() + "/" + zone + "/" + (spot ? "spot" : "ordinary");
  }
}
