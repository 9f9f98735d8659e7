package gladeknot.membership;

import gladeknot.connectivity.FailoverAdvisor;

/**
 * How long this controller waits before it takes a shard whose owner's lease has expired. Nodes
 * that come later in the ring wait longer, and so do those that own more shards, so that mostly one
 * tries.
 */
final class FailoverTimer {
  /** How long the first in the ring waits. */
  private static final long FIRST_WAIT_MICROS = 100_000;

  /** How much longer each next one waits. */
  private static final long STEP_MICROS = 500_000;

  private static final long NOT_WAITING = 0;

  private final int homeShard;
  private final OwnedShards shards;
  private final FailoverAdvisor advisor;
  private final long[] sinceMicros;

  FailoverTimer(int homeShard, int shardCount, OwnedShards shards, FailoverAdvisor advisor) {
    this.homeShard = homeShard;
    this.shards = shards;
    this.advisor = advisor;
    this.sinceMicros = new long[shardCount];
  }

  /** The shard has a live owner. */
  void reset(int shard) {
    sinceMicros[shard] = NOT_WAITING;
  }

  /** Whether the wait for a shard is over; the first call starts it. */
  boolean elapsed(int shard, long nowMicros) {
    if (sinceMicros[shard] == NOT_WAITING) {
      sinceMicros[shard] = nowMicros;
    }
    int place = Math.floorMod(homeShard - shard - 1, sinceMicros.length);
    long wait = FIRST_WAIT_MICROS + STEP_MICROS * (place + shards.all().size());
    return nowMicros - sinceMicros[shard] >= wait + advisor.failoverDelayMicros(shard);
  }
}
