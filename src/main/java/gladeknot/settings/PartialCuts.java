package gladeknot.settings;

import java.util.Optional;

/**
 * Settings of the feature {@code partial-cuts}, which handles asymmetric and partial network
 * partitions: the rules for link verdicts, the ownership transfers that follow from them, and the
 * reporting of both. Durations are in microseconds.
 */
public record PartialCuts(
    Links links,
    Damping damping,
    Handover handover,
    Optional<Status> status,
    Optional<Tracing> tracing) {
  /** Name that turns the feature on in a feature file. */
  public static final String NAME = "partial-cuts";

  /**
   * Rules for the verdict on a direction of a link.
   *
   * @param suspectAfterMicros time overdue after which a direction is suspect
   * @param unreachableAfterMicros time overdue after which a direction is unreachable
   * @param probationMicros time that a direction must work again before it counts as reachable
   * @param heartbeatMicros interval between reachability reports to each other controller
   */
  public record Links(
      long suspectAfterMicros,
      long unreachableAfterMicros,
      long probationMicros,
      long heartbeatMicros) {}

  /**
   * Damping of frequent changes of links and owners, after RFC 2439.
   *
   * @param penaltyPerChange penalty added by each change
   * @param suppressAbove penalty above which the link or shard is suppressed
   * @param reuseBelow penalty below which the suppression ends
   * @param halfLifeMicros time in which a penalty decays to half
   * @param maxSuppressedMicros maximum duration of a suppression after the last change
   */
  public record Damping(
      double penaltyPerChange,
      double suppressAbove,
      double reuseBelow,
      long halfLifeMicros,
      long maxSuppressedMicros) {}

  /**
   * Offers of shards that their owner can't use to other controllers.
   *
   * @param enabled whether shards are offered
   * @param offerAfterMicros time without use after which a shard is offered
   * @param keepMicros time that a controller keeps a shard it has taken before the shard returns to
   *     its home controller
   */
  public record Handover(boolean enabled, long offerAfterMicros, long keepMicros) {}

  /** Address of the operators' listener, as host:port. */
  public record Status(String listen) {}

  /** File that spans are written to, and its maximum size in bytes. */
  public record Tracing(String file, long maxBytes) {}

  private static final double MAX_SECONDS = 3600;
  private static final double MAX_PENALTY = 1e6;
  private static final double BYTES_PER_MB = 1024.0 * 1024.0;

  /** Reads the feature's tables and adds their faults to the fault list of the root table. */
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
            table.secondsAsMicros("offer_after_s", 1.0, 0.1, MAX_SECONDS),
            table.secondsAsMicros("keep_s", 30.0, 0, MAX_SECONDS));
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
            table.secondsAsMicros("suspect_after_s", 1.5, 0.1, MAX_SECONDS),
            table.secondsAsMicros("unreachable_after_s", 4.0, 0.1, MAX_SECONDS),
            table.secondsAsMicros("probation_s", 5.0, 0, MAX_SECONDS),
            table.secondsAsMicros("heartbeat_s", 1.0, 0.1, 60));
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
            table.secondsAsMicros("half_life_s", 30, 0.1, MAX_SECONDS),
            table.secondsAsMicros("most_suppressed_s", 60, 0.1, MAX_SECONDS));
    if (damping.suppressAbove() <= damping.reuseBelow()) {
      table.fault("suppress_above", "must be above reuse_below");
    }
    if (damping.maxSuppressedMicros() < damping.halfLifeMicros()) {
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
