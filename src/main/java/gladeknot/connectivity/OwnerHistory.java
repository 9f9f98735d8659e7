package gladeknot.connectivity;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** The history of the shards' owners, and the flap damping of ownership transfers. */
final class OwnerHistory {
  /**
   * Number of keep periods after which the failures of a home that has kept its shard for so long
   * are reset.
   */
  private static final int RELIABLE_KEEP_PERIODS = 8;

  private final ShardView shards;
  private final LinkTable links;
  private final long keepMicros;
  private final Map<Integer, FlapDamping> damping = new HashMap<>();
  private final Map<Integer, String> observedOwner = new HashMap<>();
  private final Map<Integer, String> previousOwner = new HashMap<>();
  private final Map<Integer, Long> homeSinceMicros = new HashMap<>();
  private final Map<Integer, Integer> homeFailures = new HashMap<>();

  OwnerHistory(ShardView shards, LinkTable links, long keepMicros) {
    this.shards = shards;
    this.links = links;
    this.keepMicros = keepMicros;
  }

  /**
   * Observes a shard's current owner. Only a change of owner counts for the damping, not a change
   * of term. An owner whose transactions get no answer draws new terms; counting those would block
   * the failover of its shard exactly when the owner is partitioned.
   */
  void observe(int shard, long nowMicros) {
    String owner = shards.owner(shard).orElse(null);
    if (Objects.equals(owner, observedOwner.get(shard))) {
      return;
    }
    String previous = observedOwner.put(shard, owner);
    previousOwner.put(shard, previous);
    observeHome(shard, owner, previous, nowMicros);
    if (previous != null) {
      damping(shard).recordChange(nowMicros);
    }
  }

  /** Resets the failure count of a shard's home when the shard leaves it after a long stay. */
  private void observeHome(int shard, String owner, String previous, long nowMicros) {
    String home = shards.homeNode(shard);
    if (home.equals(owner)) {
      homeSinceMicros.put(shard, nowMicros);
    } else if (home.equals(previous)) {
      long stayMicros = nowMicros - homeSinceMicros.getOrDefault(shard, 0L);
      if (stayMicros > RELIABLE_KEEP_PERIODS * keepMicros) {
        homeFailures.remove(shard);
      }
    }
  }

  /** Returns the owner of a shard before its current one; null if unknown. */
  String previousOwner(int shard) {
    return previousOwner.get(shard);
  }

  /** Counts a failure of a shard's home; returns the number of consecutive earlier failures. */
  int countHomeFailure(int shard) {
    int earlierFailures = homeFailures.getOrDefault(shard, 0);
    homeFailures.put(shard, earlierFailures + 1);
    return earlierFailures;
  }

  /** Returns whether a shard's owner changed too often recently for another transfer. */
  boolean suppressed(int shard, long nowMicros) {
    return damping(shard).suppressed(nowMicros);
  }

  private FlapDamping damping(int shard) {
    return damping.computeIfAbsent(shard, s -> links.newDamping());
  }
}
