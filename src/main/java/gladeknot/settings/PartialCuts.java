package gladeknot.settings;

import java.util.Optional;

/**
 * Settings of the feature {@code partial-cuts}, for asymmetric and partial network partitions: how
 * links are judged, when shards change owners by that, and what is reported of it. Durations in
 * microseconds.
 */
public record PartialCuts(
    Links links,
    Damping damping,
    Handover handover,
    Optional<Status> status,
    Optional<Tracing> tracing) {
  /** The name by which a file turns the feature on. */
  public static final String NAME = "partial-cuts";

  /** When a direction of a link is suspect, unreachable and well again. */
  public record Links(
      long suspectAfterMicros,
      long unreachableAfterMicros,
      long probationMicros,
      long heartbeatMicros) {}

  /** How changes of links and owners are damped, after RFC 2439. */
  public record Damping(
      double penaltyPerChange,
      double suppressAbove,
      double reuseBelow,
      long halfLifeMicros,
      long mostSuppressedMicros) {}

  /**
   * Whether shards are offered, after how long without use, and how long who takes one keeps it.
   */
  public record Handover(boolean enabled, long offerAfterMicros, long keepMicros) {}

  /** Where the operators' listener listens, as host:port. */
  public record Status(String listen) {}

  /** The file that spans are written to, and its largest size in bytes. */
  public record Tracing(String file, long maxBytes) {}

  private static final double MAX_SECONDS = 3600;
  private static final double MAX_PENALTY = 1e6;
  private static final double BYTES_PER_MB = 1024.0 * 1024.0;

  /** Reads the feature's tables; what is wrong with them goes to the tables' faults. */
  static PartialCuts read(StrictTable root) {
    Links links = readLinks(root.table("links"));
    Damping damping = readDamping(root.table("damping"));
    Handover handover = readHandover(root.table("handover"));
    Optional<Status> status = readStatus(root);
    return new PartialCuts(links, damping, handover, status, readTracing(root));
  }

  private static Handover readHandover(StrictTable table) {
    Handover handover =
        new Handover(
            table.flag("enabled", true),
            table.micros("offer_after_s", 1.0, 0.1, MAX_SECONDS),
            table.micros("keep_s", 30.0, 0, MAX_SECONDS));
    table.rejectUnknown();
    return handover;
  }

  private static Optional<Status> readStatus(StrictTable root) {
    if (!root.has("status")) {
      return Optional.empty();
    }
    StrictTable table = root.table("status");
    Status status = new Status(table.address("listen", "127.0.0.1:7171"));
    table.rejectUnknown();
    return Optional.of(status);
  }

  private static Links readLinks(StrictTable table) {
    Links links =
        new Links(
            table.micros("suspect_after_s", 1.5, 0.1, MAX_SECONDS),
            table.micros("unreachable_after_s", 4.0, 0.1, MAX_SECONDS),
            table.micros("probation_s", 5.0, 0, MAX_SECONDS),
            table.micros("heartbeat_s", 1.0, 0.1, 60));
    if (links.unreachableAfterMicros() <= links.suspectAfterMicros()) {
      table.fault("unreachable_after_s", "must be above suspect_after_s");
    }
    table.rejectUnknown();
    return links;
  }

  private static Damping readDamping(StrictTable table) {
    Damping damping =
        new Damping(
            table.number("penalty_per_change", 1000, 0, MAX_PENALTY),
            table.number("suppress_above", 2000, 1, MAX_PENALTY),
            table.number("reuse_below", 800, 1, MAX_PENALTY),
            table.micros("half_life_s", 30, 0.1, MAX_SECONDS),
            table.micros("most_suppressed_s", 60, 0.1, MAX_SECONDS));
    if (damping.suppressAbove() <= damping.reuseBelow()) {
      table.fault("suppress_above", "must be above reuse_below");
    }
    if (damping.mostSuppressedMicros() < damping.halfLifeMicros()) {
      table.fault("most_suppressed_s", "must not be below half_life_s");
    }
    table.rejectUnknown();
    return damping;
  }

  private static Optional<Tracing> readTracing(StrictTable root) {
    if (!root.has("tracing")) {
      return Optional.empty();
    }
    StrictTable table = root.table("tracing");
    String file = table.text("file");
    long bytes = (long) (table.number("most_mb", 64, 1, 65536) * BYTES_PER_MB);
    table.rejectUnknown();
    return Optional.of(new Tracing(file, bytes));
  }
}
