package gladeknot.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Amounts by which the quota shares of each shard fall short for tasks that could run there. */
final class ShardDeficits {
  /** Time for which an announced deficit is valid, in microseconds. */
  private static final long ANNOUNCEMENT_VALID_MICROS = 3_000_000;

  private final Map<Integer, Map<String, ResourceAmount>> byShard = new HashMap<>();
  private final Map<Integer, Long> announcedMicros = new HashMap<>();

  /** Adds an amount to a deficit, which a scheduling cycle of this controller has found. */
  void add(String team, int shard, ResourceAmount amount) {
    byShard
        .computeIfAbsent(shard, absent -> new TreeMap<>())
        .merge(team, amount, ResourceAmount::plus);
  }

  /** Replaces the deficits of a shard by those that its owner has announced. */
  void replace(int shard, Map<String, ResourceAmount> deficitsByTeam, long nowMicros) {
    byShard.put(shard, new TreeMap<>(deficitsByTeam));
    announcedMicros.put(shard, nowMicros);
  }

  /** Removes all deficits of a shard. */
  void clear(int shard) {
    byShard.remove(shard);
  }

  /** Removes a deficit that a transfer covers. */
  void remove(String team, int shard) {
    byShard.get(shard).remove(team);
  }

  /** Returns the deficits of a shard by team, in the order of the team names. */
  Map<String, ResourceAmount> ofShard(int shard) {
    return byShard.getOrDefault(shard, Map.of());
  }

  /** Returns the deficit of a team in a shard; zero if there is none. */
  ResourceAmount of(String team, int shard) {
    return ofShard(shard).getOrDefault(team, ResourceAmount.NONE);
  }

  /** Returns whether a team has a deficit in a shard. */
  boolean contains(String team, int shard) {
    return ofShard(shard).containsKey(team);
  }

  /** Returns whether a team has a known deficit in any shard. */
  boolean containsAnywhere(String team) {
    return byShard.values().stream().anyMatch(deficits -> deficits.containsKey(team));
  }

  /** Returns whether the last announcement by a shard's owner is recent enough to be valid. */
  boolean isAnnouncementValid(int shard, long nowMicros) {
    return nowMicros - announcedMicros.getOrDefault(shard, 0L) < ANNOUNCEMENT_VALID_MICROS;
  }
}
