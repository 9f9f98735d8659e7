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

/** What was relinquished stays so, whatever answers come later. */
class OwnedShardsTest {
  private static final int SHARD = 1;

  private final List<String> heard = new ArrayList<>();
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
              heard.add("acquired " + shard);
            }

            @Override
            public void onReleased(int shard) {
              heard.add("released " + shard);
            }

            @Override
            public boolean mostWorkersTimedOut(int shard) {
              return false;
            }
          });

  @Test
  void anAnswerToAWriteFromBeforeRelinquishingDoesNotEndIt() {
    shards.acquire(SHARD, 0);
    long onItsWay = shards.nextTerm(SHARD, 4);
    shards.relinquish(SHARD);
    assertEquals(onItsWay, shards.highestTerm(SHARD));
    shards.onWritten(SHARD, onItsWay);
    assertFalse(shards.held(SHARD));
    assertTrue(shards.needsNewRevision(SHARD));
    // That write may not have been carried out, so that its term can be drawn again.
    long next = shards.nextTerm(SHARD, 4);
    assertTrue(next > onItsWay);
    shards.onWritten(SHARD, next);
    assertTrue(shards.held(SHARD));
  }

  @Test
  void aShardWhoseHandOverFailsIsHeldAgain() {
    shards.acquire(SHARD, 0);
    shards.beginHandOver(SHARD);
    assertFalse(shards.held(SHARD));
    shards.onWritten(SHARD, shards.nextTerm(SHARD, 4));
    assertTrue(shards.held(SHARD));
  }

  @Test
  void aShardThatIsNotOwnedIsNeitherRelinquishedNorInDoubt() {
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
    assertEquals(List.of("acquired 1", "released 1"), heard);
  }
}
