package gladeknot.connectivity;

import gladeknot.peer.PeerReachability;
import gladeknot.peer.PeerReachability.ShardContact;
import gladeknot.peer.PeerReachability.ZoneReachability;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** How well a controller reaches the workers of a shard, from 0 to 100. */
final class ReachScore {
  static final int ALL = 100;

  /** What counts for a zone of which nothing is known. */
  static final int UNKNOWN = 50;

  private ReachScore() {}

  /** The score of what is known of one direction. */
  static int of(Verdict verdict) {
    return switch (verdict) {
      case REACHABLE -> ALL;
      case SUSPECT -> 75;
      case UNKNOWN, PROBATION -> UNKNOWN;
      case UNREACHABLE -> 0;
    };
  }

  /**
   * The score for a shard: the mean over its workers of how well their zones are reached, or the
   * share of its workers that have reported to the controller, whichever is more.
   */
  static int of(
      Map<String, Integer> workersByZone,
      List<ZoneReachability> zones,
      List<ShardContact> contacts,
      int shard) {
    int all = workersByZone.values().stream().mapToInt(Integer::intValue).sum();
    if (all == 0) {
      return ALL;
    }
    Map<String, Integer> percents = new HashMap<>();
    zones.forEach(z -> percents.put(z.zone(), z.percent()));
    long sum = 0;
    for (Map.Entry<String, Integer> zone : workersByZone.entrySet()) {
      sum += (long) zone.getValue() * percents.getOrDefault(zone.getKey(), UNKNOWN);
    }
    int contacted =
        contacts.stream()
            .filter(c -> c.shard() == shard)
            .mapToInt(c -> Math.min(ALL, ALL * c.workers() / all))
            .max()
            .orElse(0);
    return Math.max((int) (sum / all), contacted);
  }

  /** The score of a controller by its own record. */
  static int of(Map<String, Integer> workersByZone, PeerReachability reachability, int shard) {
    return of(workersByZone, reachability.zones(), reachability.contacts(), shard);
  }
}
