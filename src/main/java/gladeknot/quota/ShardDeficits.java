package gladeknot.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** By how much the quota shares of each shard are too small for tasks that could run there. */
final class ShardDeficits {
  /** For so long an announced deficit counts. */
  private static final long ANNOUNCEMENT_VALID_MICROS = 3_000_000;

  private final Map<Integer, Map<String, ResourceAmount>> byShard = new HashMap<>();
  private final Map<Integer, Long> announcedMicros = new HashMap<>();

  /** Adds to a deficit that a scheduling cycle of this controller has found. */
  void add(String team, int shard, ResourceAmount amount) {
    byShard
        .computeIfAbsent(shard, absent -> new TreeMap<>())
        .merge(team, amount, ResourceAmount::plus);
  }

  /** Replaces the deficits of a shard by those that its owner has announced. */
  void replace(int shard, Map<String, ResourceAmount> byTeam, long nowMicros) {
    byShard.put(shard, new TreeMap<>(byTeam));
    announcedMicros.put(shard, nowMicros);
  }

  /** Forgets all deficits of a shard. */
  void clear(int shard) {
    byShard.remove(shard);
  }

  /** Forgets a deficit that a transfer makes up for. */
  void remove(String team, int shard) {
    byShard.get(shard).remove(team);
  }

  /** The deficits of a shard by team, in the order of the names. */
  Map<String, ResourceAmount> ofShard(int shard) {
    return byShard.getOrDefault(shard, Map.of());
  }

  /** The deficit of a team in a shard; none if there is none. */
  ResourceAmount of(String team, int shard) {
    return ofShard(shard).getOrDefault(team, ResourceAmount.NONE);
  }

  /** Whether a team has a deficit in a shard. */
  boolean contains(String team, int shard) {
    return ofShard(shard).containsKey(team);
  }

  /** Whether a team has a deficit in some shard, as far as is known. */
  boolean containsAnywhere(String team) {
    return byShard.values().stream().anyMatch(deficits -> deficits.containsKey(team));
  }

  /** Whether a shard's owner has announced its deficits of late. */
  boolean announcedOfLate(int shard, long nowMicros) {
    return nowMicros - announcedMicros.getOrDefault(shard, 0L) < ANNOUNCEMENT_VALID_MICROS;
  }
}
