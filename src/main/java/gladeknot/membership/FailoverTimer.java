package gladeknot.membership;

import gladeknot.connectivity.FailoverAdvisor;

/**
 * Delays the failover of shards whose owners' leases have expired. The delay grows with this node's
 * distance from the shard in the ring of nodes and with the number of shards that it owns, so that
 * usually only one node attempts the failover.
 */
final class FailoverTimer {
  /** Delay of the first node in the ring if it owns no shard, in microseconds. */
  private static final long BASE_DELAY_MICROS = 100_000;

  /** Additional delay for each position in the ring and each owned shard, in microseconds. */
  private static final long DELAY_STEP_MICROS = 500_000;

  private static final long NOT_STARTED = 0;

  private final int ownIndex;
  private final int members;
  private final OwnedShards shards;
  private final FailoverAdvisor advisor;
  private final long[] startedMicros;

  FailoverTimer(
      int ownIndex, int members, int shardCount, OwnedShards shards, FailoverAdvisor advisor) {
    this.ownIndex = ownIndex;
    this.members = members;
    this.shards = shards;
    this.advisor = advisor;
    this.startedMicros = new long[shardCount];
  }

  /** Cancels the delay of a shard because the shard has a live owner. */
  void reset(int shard) {
    startedMicros[shard] = NOT_STARTED;
  }

  /** Returns whether the delay of a shard has elapsed. The first call starts the delay. */
  boolean elapsed(int shard, long nowMicros) {
    if (startedMicros[shard] == NOT_STARTED) {
      startedMicros[shard] = nowMicros;
    }
    int ringPosition = Math.floorMod(ownIndex - Membership.homeIndex(shard, members) - 1, members);
    long delayMicros = BASE_DELAY_MICROS + DELAY_STEP_MICROS * (ringPosition + shards.all().size());
    return nowMicros - startedMicros[shard] >= delayMicros + advisor.failoverDelayMicros(shard);
  }
}
