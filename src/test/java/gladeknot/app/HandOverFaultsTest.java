package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * A controller hands a shard back while its own transaction for it is committed and not answered.
 *
 * <p>What was seen: in the soak on real processes twenty tasks of one array ran on two machines at
 * once, while the state service was slow and controllers were restarted.
 *
 * <p>Order of events: controller A commits starts in shard 0, which it has in another's place. The
 * answer is late, and so is the watch of A. A hands the shard back, the answer to that comes first,
 * and A loads the slices of shard 0 again as what their records say, from a copy without the
 * starts. Then the late answer comes: A takes the segment as loaded with what it has written, so
 * that the slices are never loaded with it. By A's slices the started tasks are pending, by its
 * copy the segment's revision is the newest: it claims them for another shard of its own, and its
 * transaction overwrites the record that holds the starts.
 *
 * <p>Cause: an outcome was applied to slices that had been loaded again since the transaction was
 * sent. Evidence: A logs starts of a shard after its release, and then the claim of the same tasks.
 */
class HandOverFaultsTest {
  private static final int CONTROLLERS = 3;
  private static final int HOME = 0;
  private static final long FIRST_SEED = 33;
  private static final long SEEDS = 5;

  /** Of so many steps the watch of the holder is current for the first few. */
  private static final int LAG_STEPS = 90;

  private static final int CURRENT_STEPS = 15;

  /** By so much the answers to the holder's transactions are late. */
  private static final long LATE = 2 * SECOND;

  @TestFactory
  Stream<DynamicTest> startsWhoseAnswerComesAfterTheHandOverAreNotClaimed() {
    return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
        .mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> play(seed)));
  }

  private static void play(long seed) {
    // given
    SimulatedCluster cluster =
        new SimulatedCluster(CONTROLLERS, seed, new ClusterScale(12, 0, 300, 150));
    cluster.taskDuration(2 * SECOND);
    cluster.run(3 * SECOND);
    for (int node = 0; node < CONTROLLERS; node++) {
      Map<String, Object> room = TestJobs.job("req-gone" + node, "service", 5);
      room.put("scatter", false);
      cluster.submit(node, room);
    }
    cluster.run(15 * SECOND);
    cluster.kill(HOME);
    await(cluster, 60 * SECOND, () -> !cluster.owner(HOME).equals("node-0"));
    cluster.run(5 * SECOND);
    // when
    int holder = Integer.parseInt(cluster.owner(HOME).substring("node-".length()));
    cluster.taskDuration(10 * SECOND);
    cluster.start(HOME);
    cluster.faults().delayCommitAnswers(holder, LATE);
    for (int i = 0; !cluster.owner(HOME).equals("node-0"); i++) {
      assertTrue(i < 3_000, "no hand-over");
      if (i % 60 == 0) {
        cluster.submit(holder, TestJobs.job("req-work" + i / 60, "array", 3));
      }
      cluster.faults().stallWatch(holder, i % LAG_STEPS > CURRENT_STEPS);
      cluster.run(SECOND / 50);
    }
    cluster.pause(HOME, true);
    cluster.run(SECOND / 10);
    cluster.faults().stallWatch(holder, false);
    for (int node = 0; node < CONTROLLERS; node++) {
      cluster.cancel(holder, "req-gone" + node);
    }
    cluster.run(8 * SECOND);
    cluster.pause(HOME, false);
    cluster.faults().delayCommitAnswers(holder, 0);
    cluster.run(20 * SECOND);
    // then
    assertEquals(List.of(), cluster.violations());
  }

  private static void await(SimulatedCluster cluster, long micros, BooleanSupplier condition) {
    long until = cluster.now() + micros;
    while (!condition.getAsBoolean()) {
      assertTrue(cluster.now() < until, "not in time");
      cluster.run(SECOND / 10);
    }
  }
}
