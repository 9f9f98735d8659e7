package gladeknot.connectivity;

import gladeknot.connectivity.ShardView.WorkerAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** How many workers each shard has in each zone, counted from time to time. */
final class ShardPopulation {
  /** Between two counts. */
  private static final long INTERVAL_MICROS = 1_000_000;

  private final ShardView shards;
  private final WorkerLinkObserver workers;
  private final Map<Integer, Map<String, Integer>> zonesOfShards = new HashMap<>();
  private long nextCountMicros;

  ShardPopulation(ShardView shards, WorkerLinkObserver workers) {
    this.shards = shards;
    this.workers = workers;
  }

  /** The number of a shard's workers by zone, as counted last. */
  Map<String, Integer> workersByZone(int shard) {
    return zonesOfShards.getOrDefault(shard, Map.of());
  }

  /**
   * Counts when it is time. Workers that were released or transferred are not observed any more:
   * that their heartbeats stop shows nothing of this controller's links.
   */
  void tick(long nowMicros) {
    if (nowMicros < nextCountMicros) {
      return;
    }
    nextCountMicros = nowMicros + INTERVAL_MICROS;
    Set<String> ownedWorkers = new HashSet<>();
    zonesOfShards.clear();
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      zonesOfShards.put(shard, count(shard, ownedWorkers));
    }
    workers.retainOwned(ownedWorkers);
  }

  private Map<String, Integer> count(int shard, Set<String> ownedWorkers) {
    boolean owned = shards.isOwned(shard);
    Map<String, Integer> zones = new HashMap<>();
    for (WorkerAddress worker : shards.workers(shard)) {
      zones.merge(worker.zone(), 1, Integer::sum);
      if (owned) {
        ownedWorkers.add(worker.host());
      }
    }
    return zones;
  }
}
