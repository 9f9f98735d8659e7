package gladeknot.membership;

import gladeknot.state.Entry;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The number of shards, which is stored once and never changes. All controllers use the stored
 * number, so that they agree on the slices of each job while members are added or removed and their
 * settings differ.
 */
final class ShardCount {
  private static final Logger LOG = LoggerFactory.getLogger(ShardCount.class);
  private static final long COMMIT_INTERVAL_MICROS = 400_000;

  private final StateStore stateStore;

  /** Number of shards that this controller works with. */
  private final int count;

  private boolean commitInFlight;
  private long nextCommitMicros;

  ShardCount(StateStore stateStore, int count) {
    this.stateStore = stateStore;
    this.count = count;
  }

  int count() {
    return count;
  }

  /**
   * Returns the number of shards that the cache shows: the stored one or, if none is stored, that
   * of the shards that earlier versions have left; 0 if there is none.
   */
  int known() {
    int stored = stored();
    return stored != 0 ? stored : existingShards();
  }

  /** Returns whether the stored number is the one that this controller works with. */
  boolean isAgreed() {
    return stored() == count;
  }

  private int stored() {
    Entry entry = stateStore.get(MembershipKeys.SHARD_COUNT);
    return entry == null ? 0 : MembershipCodec.shardCount(entry);
  }

  private int existingShards() {
    int shards = 0;
    for (String key : stateStore.withPrefix(MembershipKeys.SHARD_PREFIX).keySet()) {
      int shard = Integer.parseInt(key.substring(MembershipKeys.SHARD_PREFIX.length()));
      shards = Math.max(shards, shard + 1);
    }
    return shards;
  }

  /**
   * Stores the number that this controller works with, if none is stored and no other number of
   * shards exists.
   */
  void storeIfAbsent(long nowMicros) {
    boolean absent = stored() == 0 && (known() == 0 || known() == count);
    boolean due = !commitInFlight && nowMicros >= nextCommitMicros;
    if (!absent || !due || !stateStore.tryAcquireWrites(1, 0)) {
      return;
    }
    nextCommitMicros = nowMicros + COMMIT_INTERVAL_MICROS;
    commitInFlight = true;
    stateStore.commit(
        Map.of(MembershipKeys.SHARD_COUNT, 0L),
        List.of(Mutation.put(MembershipKeys.SHARD_COUNT, MembershipCodec.encodeShardCount(count))),
        outcome -> {
          commitInFlight = false;
          LOG.info("shard count stored count={} status={}", count, outcome.status());
        });
  }
}
