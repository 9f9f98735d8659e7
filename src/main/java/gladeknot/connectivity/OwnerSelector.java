package gladeknot.connectivity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Selects the owner of a shard among the controllers that steadily reach the state service. Prefers
 * the controller that reaches more of the shard's workers, then the shard's home, then the next
 * controller in the ring after the home. Controllers with the same records make the same choice.
 */
final class OwnerSelector {
  /**
   * Step in which the percentages of reachable workers are compared; differences within a step are
   * ignored.
   */
  private static final int STEP_PERCENT = 25;

  /** A controller that could own a shard; {@code distance} is its ring distance from the home. */
  record Candidate(String node, boolean stateSteady, int workerPercent, int distance) {
    private int steps() {
      return workerPercent / STEP_PERCENT;
    }
  }

  private OwnerSelector() {}

  /** Returns the best candidate that reaches at least the given percentage of workers, if any. */
  static Optional<Candidate> best(List<Candidate> candidates, int minPercent) {
    return candidates.stream()
        .filter(Candidate::stateSteady)
        .filter(candidate -> candidate.workerPercent() >= Math.max(STEP_PERCENT, minPercent))
        .min(
            Comparator.comparingInt((Candidate candidate) -> -candidate.steps())
                .thenComparingInt(Candidate::distance)
                .thenComparing(Candidate::node));
  }

  /** Returns the best candidate that reaches clearly more workers than the current owner. */
  static Optional<Candidate> betterThan(List<Candidate> candidates, int ownerPercent) {
    return best(candidates, ownerPercent + STEP_PERCENT);
  }
}
