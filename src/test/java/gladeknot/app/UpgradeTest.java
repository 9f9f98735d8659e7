package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static gladeknot.standin.TestJobs.job;
import static gladeknot.standin.TestJobs.jobAfter;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Controllers are replaced by this version one after the other while jobs run, and the state
 * service lowers its limits. The checker refuses what the first version could not read before all
 * run this one; in the end every record fits the lower limits, and all jobs are served.
 */
class UpgradeTest {
  private static final int NODES = 3;
  private static final int SERVICES = 8;
  private static final int REPLICAS = 9;
  private static final int NEXT_VALUE_BYTES = 640;
  private static final int NEXT_OPERATIONS = 4;

  /** Transactions that may be refused while the limits fall unseen. */
  private static final int MAX_REFUSED = 6;

  private static final ClusterScale SCALE =
      new ClusterScale(
          180, 700_000, 300, 150, 4 * NEXT_VALUE_BYTES, NEXT_VALUE_BYTES, NEXT_OPERATIONS);

  private record Case(String name, Consumer<SimulatedCluster> upgrade) {}

  private static void replace(SimulatedCluster cluster, int... nodes) {
    for (int node : nodes) {
      cluster.kill(node);
    }
    cluster.run(2 * SECOND);
    for (int node : nodes) {
      cluster.impersonateFirstVersion(node, false);
      cluster.start(node);
    }
    cluster.run(6 * SECOND);
  }

  private static final List<Case> CASES =
      List.of(
          new Case(
              "one after the other, limits lowered much later",
              cluster -> {
                replace(cluster, 0);
                replace(cluster, 1);
                replace(cluster, 2);
                cluster.run(20 * SECOND);
                cluster.lowerLimits();
              }),
          new Case(
              "backwards, limits lowered as the last is back",
              cluster -> {
                replace(cluster, 2);
                replace(cluster, 1);
                replace(cluster, 0);
                cluster.lowerLimits();
              }),
          new Case(
              "all at once, limits lowered while records move",
              cluster -> {
                replace(cluster, 0, 1, 2);
                for (int i = 0; cluster.state().get("g/format") == null && i < 300; i++) {
                  cluster.run(SECOND / 10);
                }
                cluster.run(SECOND / 10);
                cluster.lowerLimits();
              }),
          new Case(
              "limits lowered before the last is replaced",
              cluster -> {
                replace(cluster, 0, 1);
                cluster.lowerLimits();
                cluster.run(10 * SECOND);
                replace(cluster, 2);
              }),
          new Case(
              "a death before its turn, coming back old",
              cluster -> {
                replace(cluster, 0);
                cluster.kill(1);
                cluster.run(2 * SECOND);
                cluster.start(1);
                cluster.run(6 * SECOND);
                replace(cluster, 2);
                replace(cluster, 1);
                cluster.run(3 * SECOND);
                cluster.lowerLimits();
              }),
          new Case(
              "all end midway",
              cluster -> {
                replace(cluster, 0);
                cluster.kill(0);
                cluster.kill(1);
                cluster.kill(2);
                cluster.run(12 * SECOND);
                cluster.start(0);
                cluster.start(1);
                cluster.start(2);
                cluster.run(6 * SECOND);
                replace(cluster, 1);
                replace(cluster, 2);
                cluster.run(SECOND);
                cluster.lowerLimits();
              }),
          new Case(
              "an outage midway, and late transactions",
              cluster -> {
                cluster.faults().lateCommitShare(0.2);
                replace(cluster, 0, 1);
                cluster.faults().stateOutage(true);
                cluster.run(15 * SECOND);
                cluster.faults().stateOutage(false);
                replace(cluster, 2);
                cluster.run(10 * SECOND);
                cluster.faults().lateCommitShare(0);
                cluster.lowerLimits();
              }),
          new Case(
              "a controller ends while records move",
              cluster -> {
                replace(cluster, 0, 1, 2);
                for (int i = 0; cluster.state().get("g/format") == null && i < 300; i++) {
                  cluster.run(SECOND / 10);
                }
                cluster.kill(2);
                cluster.run(3 * SECOND);
                cluster.lowerLimits();
                cluster.run(10 * SECOND);
                cluster.start(2);
              }));

  @TestFactory
  Stream<DynamicTest> rulesHold() {
    return CASES.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> play(testCase)));
  }

  private static SimulatedCluster oldCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(NODES, seed, SCALE);
    for (int i = 0; i < NODES; i++) {
      cluster.impersonateFirstVersion(i, true);
    }
    cluster.startPolling();
    cluster.run(4 * SECOND);
    cluster.taskDuration(60 * SECOND);
    for (int i = 0; i < SERVICES; i++) {
      cluster.submit(i % NODES, job("req-web-" + i, "service", REPLICAS));
    }
    for (int i = 0; i < 50; i++) {
      cluster.submit(i % NODES, job("req-old-" + i, "array", 12));
    }
    cluster.run(30 * SECOND);
    // Parts that will have to be split, or the rows would show little.
    assertTrue(
        cluster.state().keys("g/sl/").stream()
            .anyMatch(key -> Json.bytes(cluster.state().get(key)).length > NEXT_VALUE_BYTES));
    return cluster;
  }

  private static void play(Case testCase) {
    SimulatedCluster cluster = oldCluster(41);
    assertNull(cluster.state().get("g/format"));
    testCase.upgrade().accept(cluster);
    cluster.run(10 * SECOND);
    cluster.taskDuration(6 * SECOND);
    cluster.submit(0, job("req-first", "array", 60));
    cluster.submit(1, job("req-web-new", "service", 5));
    cluster.run(2 * SECOND);
    cluster.submit(2, jobAfter("req-second", 30, "req-first", "req-old-1"));
    cluster.expectRecovery();
    cluster.run(120 * SECOND);
    assertEquals(List.of(), cluster.violations());
    assertTrue(cluster.state().get("g/format") != null, "no mark");
    for (String id : cluster.jobs()) {
      assertEquals(id.startsWith("req-web") ? "running" : "done", cluster.phase(id), id);
    }
    assertEquals(SERVICES * REPLICAS + 5, cluster.tasksOnMachines());
    for (String key : cluster.state().keys("g/")) {
      int bytes = Json.bytes(cluster.state().get(key)).length;
      assertTrue(bytes <= NEXT_VALUE_BYTES, key + " has " + bytes);
      assertTrue(!key.matches("g/sl/[0-9]+/[aw][0-9]"), key + " is left");
    }
    assertTrue(
        cluster.state().rejectedForSize() <= MAX_REFUSED,
        cluster.state().rejectedForSize() + " refused");
  }

  @Test
  void noMarkWhileOneIsAwayOrOld() {
    SimulatedCluster cluster = oldCluster(42);
    replace(cluster, 0);
    replace(cluster, 1);
    cluster.kill(2);
    cluster.run(40 * SECOND);
    assertNull(cluster.state().get("g/format"));
    cluster.start(2);
    cluster.run(20 * SECOND);
    assertNull(cluster.state().get("g/format"));
    replace(cluster, 2);
    cluster.run(5 * SECOND);
    Map<String, Object> mark = cluster.state().get("g/format");
    assertEquals(4L, Json.longValue(mark, "split", 0));
    assertEquals(List.of(), cluster.violations());
  }
}
