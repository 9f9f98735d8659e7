package gladeknot.connectivity;

import gladeknot.peer.PeerReachability;
import gladeknot.peer.PeerReachability.ShardContact;
import gladeknot.peer.PeerReachability.ZoneReachability;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Score of how well a controller reaches the workers of a shard, from 0 to 100. */
final class ReachabilityScore {
  static final int ALL = 100;

  /** Score of a zone without evidence. */
  static final int UNKNOWN = 50;

  private ReachabilityScore() {}

  /** Returns the score of a direction with the given verdict. */
  static int of(Verdict verdict) {
    return switch (verdict) {
      case REACHABLE -> ALL;
      case SUSPECT -> 75;
      case UNKNOWN, PROBATION -> UNKNOWN;
      case UNREACHABLE -> 0;
    };
  }

  /**
   * Returns the score for a shard: the larger of the mean score of its workers' zones, weighted by
   * the number of workers, and the percentage of its workers that have reported to the controller.
   */
  static int of(
      Map<String, Integer> workersByZone,
      List<ZoneReachability> zones,
      List<ShardContact> contacts,
      int shard) {
    int workerCount = workersByZone.values().stream().mapToInt(Integer::intValue).sum();
    if (workerCount == 0) {
      return ALL;
    }
    Map<String, Integer> percents = new HashMap<>();
    zones.forEach(zone -> percents.put(zone.zone(), zone.percent()));
    long sum = 0;
    for (Map.Entry<String, Integer> zone : workersByZone.entrySet()) {
      sum += (long) zone.getValue() * percents.getOrDefault(zone.getKey(), UNKNOWN);
    }
    int contactedPercent =
        contacts.stream()
            .filter(contact -> contact.shard() == shard)
            .mapToInt(contact -> Math.min(ALL, ALL * contact.workers() / workerCount))
            .max()
            .orElse(0);
    return Math.max((int) (sum / workerCount), contactedPercent);
  }

  /** Returns the score of a controller, based on its own record. */
  static int of(Map<String, Integer> workersByZone, PeerReachability reachability, int shard) {
    return of(workersByZone, reachability.zones(), reachability.contacts(), shard);
  }
}
