package gladeknot.connectivity;

import gladeknot.connectivity.ShardView.WorkerAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Number of workers of each shard in each zone, counted periodically. */
final class ShardPopulation {
  /** Interval between two counts. */
  private static final long COUNT_INTERVAL_MICROS = 1_000_000;

  private final ShardView shards;
  private final WorkerLinkObserver workers;
  private final Map<Integer, Map<String, Integer>> workersByZoneOfShards = new HashMap<>();
  private long nextCountMicros;

  ShardPopulation(ShardView shards, WorkerLinkObserver workers) {
    this.shards = shards;
    this.workers = workers;
  }

  /** Returns the number of a shard's workers in each zone, as of the last count. */
  Map<String, Integer> workersByZone(int shard) {
    return workersByZoneOfShards.getOrDefault(shard, Map.of());
  }

  /**
   * Counts the workers if a count is due, and stops observing workers that were released or
   * transferred: the end of their heartbeats is no evidence on this controller's links.
   */
  void tick(long nowMicros) {
    if (nowMicros < nextCountMicros) {
      return;
    }
    nextCountMicros = nowMicros + COUNT_INTERVAL_MICROS;
    Set<String> ownedWorkers = new HashSet<>();
    workersByZoneOfShards.clear();
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      workersByZoneOfShards.put(shard, count(shard, ownedWorkers));
    }
    workers.retainOwned(ownedWorkers);
  }

  private Map<String, Integer> count(int shard, Set<String> ownedWorkers) {
    boolean owned = shards.isOwned(shard);
    Map<String, Integer> workersByZone = new HashMap<>();
    for (WorkerAddress worker : shards.workers(shard)) {
      workersByZone.merge(worker.zone(), 1, Integer::sum);
      if (owned) {
        ownedWorkers.add(worker.host());
      }
    }
    return workersByZone;
  }
}
