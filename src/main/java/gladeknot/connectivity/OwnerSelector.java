package gladeknot.connectivity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses among the controllers that could own a shard: those that have reached the state service
 * steadily, the one that reaches more of the shard's workers first, then the shard's home, then the
 * next in the ring after it. Who sees the same records chooses the same.
 */
final class OwnerSelector {
  /** Smaller differences in reach than this don't decide. */
  private static final int STEP_PERCENT = 25;

  /** A controller that could own a shard; {@code distance} counts from the shard's home. */
  record Candidate(String node, boolean stateSteady, int workerPercent, int distance) {
    private int steps() {
      return workerPercent / STEP_PERCENT;
    }
  }

  private OwnerSelector() {}

  /** The best that reaches at least as many workers as given; empty if there is none. */
  static Optional<Candidate> best(List<Candidate> candidates, int leastPercent) {
    return candidates.stream()
        .filter(Candidate::stateSteady)
        .filter(c -> c.workerPercent() >= Math.max(STEP_PERCENT, leastPercent))
        .min(
            Comparator.comparingInt((Candidate c) -> -c.steps())
                .thenComparingInt(Candidate::distance)
                .thenComparing(Candidate::node));
  }

  /** The best that reaches clearly more workers than the present owner. */
  static Optional<Candidate> better(List<Candidate> candidates, int ownerPercent) {
    return best(candidates, ownerPercent + STEP_PERCENT);
  }
}
