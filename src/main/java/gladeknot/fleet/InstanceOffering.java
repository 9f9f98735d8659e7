package gladeknot.fleet;

import gladeknot.workers.MachineType;

/** A machine type in a zone, spot or on demand, and how long it is to be left alone. */
final class InstanceOffering {
  /** Back-off after a refusal, doubled with each refusal in a row. */
  private static final long BACKOFF_MICROS = 5_000_000;

  private static final int MAX_DOUBLINGS = 2;

  /** Back-off after an outage of the cloud. */
  private static final long OUTAGE_BACKOFF_MICROS = 3_000_000;

  private MachineType type;
  private final String zone;
  private final boolean spot;
  private long backoffUntilMicros;
  private int refusals;

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

  /** The price of an hour. */
  double price() {
    return type.price(spot);
  }

  /** Takes over what the cloud says of the type now; back-off stays. */
  void updateType(MachineType listed) {
    type = listed;
  }

  /** Whether a request for it is worth a call. */
  boolean isAvailable(long nowMicros) {
    return nowMicros >= backoffUntilMicros;
  }

  /** Notes that the cloud lacks such instances, or some of those requested. */
  void onRefused(long nowMicros) {
    refusals = Math.min(refusals + 1, MAX_DOUBLINGS);
    backoffUntilMicros = nowMicros + (BACKOFF_MICROS << refusals);
  }

  /** Notes that the cloud was out of order when it was asked. */
  void onOutage(long nowMicros) {
    refusals = 1;
    backoffUntilMicros = nowMicros + OUTAGE_BACKOFF_MICROS;
  }

  /** Notes that a request was fulfilled. */
  void onFulfilled() {
    refusals = 0;
    backoffUntilMicros = 0;
  }

  /** Its name in the catalogue and in log lines. */
  @Override
  public String toString() {
    return type.name() + "/" + zone + "/" + (spot ? "spot" : "ordinary");
  }
}
