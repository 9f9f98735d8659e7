package gladeknot.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import org.junit.jupiter.api.Test;

class TransactionLimitsTest {
  private static TransactionLimits limits(int valueBytes, int nextBytes, int nextOperations) {
    ClusterScale scale = new ClusterScale(1, 1000, 100, 50, valueBytes, nextBytes, nextOperations);
    return new TransactionLimits(ClusterSettings.of(0, 3, scale));
  }

  @Test
  void smallerLimitsApplyAfterUpgradeOfAllMembersOrSizeRejection() {
    for (boolean rejected : new boolean[] {false, true}) {
      TransactionLimits limits = limits(8192, 2048, 4);
      assertEquals(8192, limits.maxValueBytes());
      assertEquals(16, limits.maxOperations());
      if (rejected) {
        limits.onSizeRejection();
      } else {
        limits.onAllMembersUpgraded();
      }
      assertEquals(2048, limits.maxValueBytes());
      assertEquals(4, limits.maxOperations());
      assertEquals(16, limits.maxPreconditions(limits.maxOperations()));
    }
  }

  @Test
  void largerFutureLimitsHaveNoEffect() {
    TransactionLimits limits = limits(2048, 8192, 64);
    limits.onAllMembersUpgraded();
    assertEquals(2048, limits.maxValueBytes());
    assertEquals(16, limits.maxOperations());
    assertEquals(1, limits.targetSegmentSplit());
  }

  @Test
  void segmentSplitIsRatioOfValueSizesRoundedUp() {
    assertEquals(4, limits(8192, 2048, 4).targetSegmentSplit());
    assertEquals(3, limits(8192, 3000, 4).targetSegmentSplit());
  }
}
