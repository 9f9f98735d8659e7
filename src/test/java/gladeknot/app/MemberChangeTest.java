package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.json.Json;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * The number of members changes while jobs run. Guards against arrays that never end because
 * controllers with other settings split them into other slices than those that are stored.
 */
class MemberChangeTest {
  private static final int SMALL = 3;
  private static final int LARGE = 5;

  /**
   * A change of members.
   *
   * @param shards the number of shards after it
   */
  private record Case(String name, int members, Consumer<SimulatedCluster> change, int shards) {}

  private static final List<Case> CASES =
      List.of(
          new Case("the members stay", SMALL, cluster -> restartAll(cluster, SMALL, SMALL), SMALL),
          new Case(
              "all are restarted as more",
              SMALL,
              cluster -> restartAll(cluster, SMALL, LARGE),
              SMALL),
          new Case(
              "all are restarted as fewer",
              LARGE,
              cluster -> restartAll(cluster, LARGE, SMALL),
              LARGE),
          new Case(
              "one after the other is restarted as one of more",
              SMALL,
              cluster -> rollingRestart(cluster, SMALL, LARGE),
              SMALL),
          new Case(
              "one after the other is restarted as one of fewer",
              LARGE,
              cluster -> rollingRestart(cluster, LARGE, SMALL),
              LARGE),
          new Case(
              "more members during an outage of the state service",
              SMALL,
              cluster -> {
                cluster.faults().stateOutage(true);
                restartAll(cluster, SMALL, LARGE);
                cluster.run(20 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(false);
              },
              SMALL),
          new Case(
              "more members, transactions are applied late, and all crash again",
              SMALL,
              cluster -> {
                cluster.faults().lateCommitShare(0.3);
                rollingRestart(cluster, SMALL, LARGE);
                cluster.run(5 * MICROS_PER_SECOND);
                restartAll(cluster, LARGE, LARGE);
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.faults().lateCommitShare(0);
              },
              SMALL),
          new Case(
              "more members, and the first ones are lost",
              SMALL,
              cluster -> {
                restartAll(cluster, SMALL, LARGE);
                cluster.run(5 * MICROS_PER_SECOND);
                cluster.kill(0, 1);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.start(0, 1);
              },
              SMALL),
          new Case(
              "fewer members on a store that the version before has left",
              LARGE,
              cluster -> {
                cluster.kill(indexes(LARGE));
                cluster.run(MICROS_PER_SECOND);
                cluster.state().overwrite("g/shards", null);
                cluster.useMembers(SMALL);
                cluster.start(indexes(SMALL));
              },
              LARGE),
          new Case(
              "more members on a store that the version before has left",
              SMALL,
              cluster -> {
                cluster.kill(indexes(SMALL));
                cluster.run(MICROS_PER_SECOND);
                cluster.state().overwrite("g/shards", null);
                cluster.useMembers(LARGE);
                cluster.start(indexes(LARGE));
              },
              SMALL));

  @TestFactory
  Stream<DynamicTest> jobsEndWhileMembersChange() {
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(c)));
  }

  private static void play(Case c) {
    SimulatedCluster cluster = new SimulatedCluster(c.members(), 48);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-web", "service", 2));
    cluster.submit(1, TestJobs.job("req-array", "array", 40));
    cluster.submit(2, TestJobs.job("req-gang", "ensemble", 3));
    cluster.startPolling();
    cluster.run(10 * MICROS_PER_SECOND);
    c.change().accept(cluster);
    cluster.run(20 * MICROS_PER_SECOND);
    cluster.expectRecovery();
    for (int node = 0; node < SMALL; node++) {
      cluster.submit(node, TestJobs.job("req-after-" + node, "array", 10));
    }
    cluster.run(150 * MICROS_PER_SECOND);
    assertEquals(Json.of("n", c.shards()).toString(), cluster.state().get("g/shards").toString());
    assertEquals(40, cluster.doneTasks("req-array"));
    assertEquals(3, cluster.doneTasks("req-gang"));
    for (int node = 0; node < SMALL; node++) {
      assertEquals("done", cluster.phase("req-after-" + node));
    }
    assertEquals("running", cluster.phase("req-web"));
    assertEquals(List.of(), cluster.violations());
  }

  private static void restartAll(SimulatedCluster cluster, int before, int after) {
    cluster.kill(indexes(before));
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.useMembers(after);
    cluster.start(indexes(after));
  }

  private static void rollingRestart(SimulatedCluster cluster, int before, int after) {
    cluster.useMembers(after);
    for (int node = 0; node < Math.max(before, after); node++) {
      if (node < before) {
        cluster.kill(node);
        cluster.run(3 * MICROS_PER_SECOND);
      }
      if (node < after) {
        cluster.start(node);
        cluster.run(4 * MICROS_PER_SECOND);
      }
    }
  }

  private static int[] indexes(int count) {
    return IntStream.range(0, count).toArray();
  }
}
