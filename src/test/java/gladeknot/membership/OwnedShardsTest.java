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

/** What was yielded stays yielded, whatever answers come later. */
class OwnedShardsTest {
  private static final int SHARD = 1;

  private final List<String> heard = new ArrayList<>();
  private final OwnedShards shards =
      new OwnedShards(
          3,
          new StateStore(
              ClusterSettings.of(0, 3, ClusterScale.SMALL),
              new Outbox(),
              new SplittableRandom(1),
              changes -> {}),
          new Membership.Listener() {
            @Override
            public void onAcquired(int shard) {
              heard.add("gained " + shard);
            }

            @Override
            public void onReleased(int shard) {
              heard.add("lost " + shard);
            }

            @Override
            public boolean mostWorkersTimedOut(int shard) {
              return false;
            }
          });

  @Test
  void anAnswerToAWriteFromBeforeTheYieldDoesNotEndIt() {
    shards.gain(SHARD, 0);
    long onItsWay = shards.nextTerm(SHARD, 4);
    shards.relinquish(SHARD);
    assertEquals(onItsWay, shards.mostTerm(SHARD));
    shards.wrote(SHARD, onItsWay);
    assertFalse(shards.held(SHARD));
    assertTrue(shards.needsNewStamp(SHARD));
    // That write may not have been carried out, so that its term can be drawn again.
    long next = shards.nextTerm(SHARD, 4);
    assertTrue(next > onItsWay);
    shards.wrote(SHARD, next);
    assertTrue(shards.held(SHARD));
  }

  @Test
  void aShardThatIsGivenAndKeptAfterAllIsHeldAgain() {
    shards.gain(SHARD, 0);
    shards.beginYielding(SHARD);
    assertFalse(shards.held(SHARD));
    shards.wrote(SHARD, shards.nextTerm(SHARD, 4));
    assertTrue(shards.held(SHARD));
  }

  @Test
  void whatIsNotOursIsNeitherYieldedNorInDoubt() {
    shards.relinquish(SHARD);
    shards.doubt(SHARD);
    shards.gain(SHARD, 0);
    assertTrue(shards.held(SHARD));
    assertFalse(shards.needsNewStamp(SHARD));
    shards.doubt(SHARD);
    assertTrue(shards.needsNewStamp(SHARD));
    shards.drop(SHARD);
    shards.drop(SHARD);
    assertFalse(shards.needsNewStamp(SHARD));
    assertEquals(List.of("gained 1", "lost 1"), heard);
  }
}
