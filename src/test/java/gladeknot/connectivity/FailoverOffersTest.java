package gladeknot.connectivity;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.settings.PartialCuts;
import gladeknot.standin.FeatureSettings;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Suppression of offers by flap damping: it counts changes of owner only, and it expires. */
class FailoverOffersTest {
  private static final long MICROS_PER_SECOND = 1_000_000;

  private String owner = "node-0";
  private long term = 1;

  private final ShardView shards =
      new ShardView() {
        @Override
        public int shardCount() {
          return 1;
        }

        @Override
        public String homeNode(int shard) {
          return "node-0";
        }

        @Override
        public Optional<String> owner(int shard) {
          return Optional.of(owner);
        }

        @Override
        public long incarnation(int shard) {
          return 7;
        }

        @Override
        public long term(int shard) {
          return term;
        }

        @Override
        public long highestTerm(int shard) {
          return term;
        }

        @Override
        public boolean isOwned(int shard) {
          return false;
        }

        @Override
        public void relinquish(int shard) {}

        @Override
        public Collection<WorkerAddress> workers(int shard) {
          return List.of();
        }
      };

  private FailoverOffers offers() {
    PartialCuts settings = FeatureSettings.partialCuts().partialCuts().orElseThrow();
    return new FailoverOffers("node-1", shards, new LinkTable(settings), settings);
  }

  private static void tick(FailoverOffers offers, long second) {
    offers.tick(second * MICROS_PER_SECOND, (shard, excluded) -> Optional.empty());
  }

  /**
   * Guards against counting new terms as flapping. An owner whose transactions get no answer gets
   * new terms. Counting them blocked the failover of its shard exactly when it was partitioned.
   */
  @Test
  void newTermsOfSameOwnerAreNotSuppressed() {
    FailoverOffers offers = offers();
    for (int second = 1; second <= 6; second++) {
      term++;
      tick(offers, second);
      assertFalse(offers.suppressed(0));
    }
  }

  @Test
  void frequentOwnerChangesAreSuppressedTemporarily() {
    FailoverOffers offers = offers();
    for (int second = 1; second <= 4; second++) {
      tick(offers, second);
      owner = second % 2 == 0 ? "node-0" : "node-2";
      term++;
    }
    tick(offers, 5);
    assertTrue(offers.suppressed(0));
    tick(offers, 70);
    assertFalse(offers.suppressed(0));
  }
}
