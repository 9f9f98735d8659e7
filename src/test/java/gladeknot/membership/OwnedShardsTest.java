package gladeknot.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.outbox.Outbox;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import gladeknot.state.StateStore;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Tests which owned shards a controller may act for. A relinquished shard must stay relinquished
 * when a write that was sent before is answered late, because another node may have taken the
 * shard.
 */
class OwnedShardsTest {
  private static final int SHARD = 1;

  private final List<String> events = new ArrayList<>();
  private final OwnedShards shards =
      new OwnedShards(
          new ShardTable(
              new StateStore(
                  ClusterSettings.of(0, 3, ClusterScale.SMALL),
                  new Outbox(),
                  new SplittableRandom(1),
                  changes -> {}),
              3),
          new ShardListener() {
            @Override
            public void onAcquired(int shard) {
              events.add("acquired " + shard);
            }

            @Override
            public void onReleased(int shard) {
              events.add("released " + shard);
            }

            @Override
            public boolean mostWorkersTimedOut(int shard) {
              return false;
            }
          });

  @Test
  void relinquishedShardStaysRelinquishedWhenEarlierWriteIsCommitted() {
    shards.acquire(SHARD, 0);
    long termInFlight = shards.nextTerm(SHARD, 4);
    shards.relinquish(SHARD);
    assertEquals(termInFlight, shards.highestTerm(SHARD));
    shards.onWritten(SHARD, termInFlight);
    assertFalse(shards.held(SHARD));
    assertTrue(shards.needsNewRevision(SHARD));
    // The earlier write may not have been executed, so that the counter would give its term again.
    // The next term must be above it.
    long nextTerm = shards.nextTerm(SHARD, 4);
    assertTrue(nextTerm > termInFlight);
    shards.onWritten(SHARD, nextTerm);
    assertTrue(shards.held(SHARD));
  }

  @Test
  void shardIsHeldAgainUnderNewTermAfterFailedHandover() {
    shards.acquire(SHARD, 0);
    shards.beginHandover(SHARD);
    assertFalse(shards.held(SHARD));
    shards.onWritten(SHARD, shards.nextTerm(SHARD, 4));
    assertTrue(shards.held(SHARD));
  }

  @Test
  void unownedShardIsNeitherRelinquishedNorInDoubt() {
    shards.relinquish(SHARD);
    shards.markInDoubt(SHARD);
    shards.acquire(SHARD, 0);
    assertTrue(shards.held(SHARD));
    assertFalse(shards.needsNewRevision(SHARD));
    shards.markInDoubt(SHARD);
    assertTrue(shards.needsNewRevision(SHARD));
    shards.release(SHARD);
    shards.release(SHARD);
    assertFalse(shards.needsNewRevision(SHARD));
    assertEquals(List.of("acquired 1", "released 1"), events);
  }
}
