package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.workers.MachineType;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What the cloud offers, which of it was refused of late, and which suits a task best. */
final class InstanceOfferings {
  /** What a second of lateness counts against a price an hour, when no offer is in time. */
  private static final double LATE = 0.05;

  /** How long an offer rests after it was refused, by how often in a row, and after an outage. */
  private static final long REST_MICROS = 5_000_000;

  private static final int MAX_DOUBLED = 2;
  private static final long TROUBLE_REST_MICROS = 3_000_000;

  /** A type in a zone, spot or ordinary. */
  static final class InstanceOffering {
    private MachineType type;
    final String zone;
    final boolean spot;
    private long untilMicros;
    private int refusals;

    private InstanceOffering(MachineType type, String zone, boolean spot) {
      this.type = type;
      this.zone = zone;
      this.spot = spot;
    }

    MachineType type() {
      return type;
    }

    @Override
    public String toString() {
      return type.name() + "/" + zone + "/" + (spot ? "spot" : "ordinary");
    }
  }

  private final Map<String, MachineType> types = new LinkedHashMap<>();
  private final Map<String, InstanceOffering> offers = new LinkedHashMap<>();

  /** Takes in the types as the cloud lists them now; what was refused stays known. */
  void read(List<MachineType> listed) {
    types.clear();
    Map<String, InstanceOffering> before = new LinkedHashMap<>(offers);
    offers.clear();
    for (MachineType type : listed) {
      types.put(type.name(), type);
      for (String zone : type.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          InstanceOffering now = new InstanceOffering(type, zone, spot);
          InstanceOffering offer = before.getOrDefault(now.toString(), now);
          offer.type = type;
          offers.put(offer.toString(), offer);
        }
      }
    }
  }

  MachineType type(String name) {
    return types.get(name);
  }

  Collection<MachineType> types() {
    return types.values();
  }

  /** Zones in which some type is offered. */
  List<String> zones() {
    return types.values().stream().flatMap(t -> t.zones().stream()).distinct().toList();
  }

  /** Whether any offer is worth a call. */
  boolean anyOpen(long nowMicros) {
    for (InstanceOffering offer : offers.values()) {
      if (nowMicros >= offer.untilMicros) {
        return true;
      }
    }
    return false;
  }

  /** Notes that an offer was refused or only partly filled. */
  void refused(InstanceOffering offer, boolean outage, long nowMicros) {
    offer.refusals = outage ? 1 : Math.min(offer.refusals + 1, MAX_DOUBLED);
    offer.untilMicros = nowMicros + (outage ? TROUBLE_REST_MICROS : REST_MICROS << offer.refusals);
  }

  void filled(InstanceOffering offer) {
    offer.refusals = 0;
    offer.untilMicros = 0;
  }

  private static boolean mayUse(JobSpec spec, MachineType type) {
    return spec.machineTypes() == null || spec.machineTypes().contains(type.name());
  }

  boolean fitsSome(JobSpec spec) {
    return types.values().stream()
        .anyMatch(
            t ->
                t.fits(spec) > 0
                    && mayUse(spec, t)
                    && (spec.zone() == null || t.zones().contains(spec.zone())));
  }

  private static long fetchMicros(JobSpec spec, MachineType type) {
    return (long) (spec.imageGb() / type.fetchGbPerS() * 1e6);
  }

  /** How soon a machine rented now could run a task. */
  long soonest(JobSpec spec) {
    long soonest = Forecast.NEVER;
    for (MachineType type : types.values()) {
      if (type.fits(spec) > 0 && mayUse(spec, type)) {
        soonest = Math.min(soonest, type.readyMicros() + fetchMicros(spec, type));
      }
    }
    return soonest;
  }

  /** Tasks that a machine is looked for, and what else bears on the choice. */
  record InstanceRequest(
      JobSpec spec,
      Map<String, Integer> inZone,
      int count,
      long latestMicros,
      long otherwiseMicros) {}

  /**
   * The cheapest offer that is up in time, or the soonest if none is; null if none helps.
   *
   * @param asked how many machines of each offer are being asked for already
   * @param most how many may be asked for with one call
   * @param perZone how many machines there are in each zone
   * @param dearFactor how many times its cheapest price a task may cost among GPUs it doesn't use
   */
  InstanceOffering choose(
      InstanceRequest wish,
      Map<InstanceOffering, Integer> asked,
      int most,
      Map<String, Integer> perZone,
      double dearFactor,
      long nowMicros) {
    JobSpec spec = wish.spec();
    InstanceOffering best = null;
    double bestScore = 0;
    double dear = dear(spec) * dearFactor;
    for (InstanceOffering offer : offers.values()) {
      MachineType type = offer.type;
      int fits = type.fits(spec);
      boolean wasteful = spec.gpus() == 0 && type.gpus() > 0;
      if (fits == 0
          || nowMicros < offer.untilMicros
          || (wasteful && spec.shape() == JobSpec.Shape.SERVICE)
          || (wasteful && type.price(offer.spot) / fits > dear)
          || !spec.allowsMachine(type.name(), offer.zone, offer.spot)
          || !spec.allowsZone(offer.zone, wish.inZone())
          || asked.getOrDefault(offer, 0) >= most) {
        continue;
      }
      long up = nowMicros + type.readyMicros() + fetchMicros(spec, type);
      if (up >= wish.otherwiseMicros()) {
        continue;
      }
      double score = type.price(offer.spot) / Math.min(fits, wish.count());
      score *= 1 + type.readyMicros() / 60e6;
      if (up > wish.latestMicros()) {
        score += LATE * (up - wish.latestMicros()) / 1e6;
      }
      // Both zones get machines where tasks are to be spread.
      if (spec.spread()) {
        score *= 1 + 0.05 * perZone.getOrDefault(offer.zone, 0);
      }
      if (best == null || score < bestScore) {
        best = offer;
        bestScore = score;
      }
    }
    return best;
  }

  /** What a task costs an hour on the cheapest machine without GPUs. */
  private double dear(JobSpec spec) {
    double cheapest = Double.MAX_VALUE;
    for (MachineType type : types.values()) {
      if (type.gpus() == 0 && mayUse(spec, type) && type.fits(spec) > 0) {
        cheapest = Math.min(cheapest, type.price(false) / type.fits(spec));
      }
    }
    return cheapest;
  }
}
