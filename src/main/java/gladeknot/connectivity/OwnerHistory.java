package gladeknot.connectivity;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

/** How the shards' owners have changed, and whether a shard changes hands too often. */
final class OwnerHistory {
  /** A home that has kept its shard for so many times the keeping time is trusted again. */
  private static final int RELIABLE_KEEPS = 8;

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
   * Observes a shard's present owner. Only a change of owner counts for the damping, not one of
   * terms: an owner whose transactions get no answer draws new terms, and would keep its shard from
   * being taken just when it is cut off.
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
      damping(shard).changed(nowMicros);
    }
  }

  /** A shard that leaves its home after a long stay there starts with no failures of its home. */
  private void observeHome(int shard, String owner, String previous, long nowMicros) {
    String home = shards.homeNode(shard);
    if (home.equals(owner)) {
      homeSinceMicros.put(shard, nowMicros);
    } else if (home.equals(previous)) {
      long stayed = nowMicros - homeSinceMicros.getOrDefault(shard, 0L);
      if (stayed > RELIABLE_KEEPS * keepMicros) {
        homeFailures.remove(shard);
      }
    }
  }

  /** Who owned a shard before its present owner; null if that is not known. */
  String previousOwner(int shard) {
    return previousOwner.get(shard);
  }

  /** Counts one more failure of a shard's home; returns how many there were before in a row. */
  int countHomeFailure(int shard) {
    int before = homeFailures.getOrDefault(shard, 0);
    homeFailures.put(shard, before + 1);
    return before;
  }

  /** Whether a shard has changed hands too often recently to do so again. */
  boolean suppressed(int shard, long nowMicros) {
    return damping(shard).suppressed(nowMicros);
  }

  private FlapDamping damping(int shard) {
    return damping.computeIfAbsent(shard, s -> links.newDamping());
  }
}
