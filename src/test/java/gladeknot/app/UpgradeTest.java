package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
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
 * Rolling upgrades from the first version to this one while jobs run and the state service lowers
 * its limits. Until all controllers run this version, the checker rejects records that the first
 * version can't read. In the end every record fits the lower limits, and all jobs run or are done.
 */
class UpgradeTest {
  private static final int NODES = 3;
  private static final int SERVICES = 8;
  private static final int REPLICAS = 9;
  private static final int NEXT_VALUE_BYTES = 640;
  private static final int NEXT_OPERATIONS = 4;

  /**
   * Maximum number of transactions that the state service may reject between the lowering of its
   * limits and the time when the controllers learn of them.
   */
  private static final int MAX_REJECTED = 6;

  private static final ClusterScale SCALE =
      new ClusterScale(
          180, 700_000, 300, 150, 4 * NEXT_VALUE_BYTES, NEXT_VALUE_BYTES, NEXT_OPERATIONS);

  private record Case(String name, Consumer<SimulatedCluster> upgrade) {}

  private static void upgradeControllers(SimulatedCluster cluster, int... nodes) {
    for (int node : nodes) {
      cluster.kill(node);
    }
    cluster.run(2 * MICROS_PER_SECOND);
    for (int node : nodes) {
      cluster.impersonateFirstVersion(node, false);
      cluster.start(node);
    }
    cluster.run(6 * MICROS_PER_SECOND);
  }

  private static final List<Case> CASES =
      List.of(
          new Case(
              "one after the other, limits lowered much later",
              cluster -> {
                upgradeControllers(cluster, 0);
                upgradeControllers(cluster, 1);
                upgradeControllers(cluster, 2);
                cluster.run(20 * MICROS_PER_SECOND);
                cluster.lowerLimits();
              }),
          new Case(
              "in reverse order, limits lowered once the last has returned",
              cluster -> {
                upgradeControllers(cluster, 2);
                upgradeControllers(cluster, 1);
                upgradeControllers(cluster, 0);
                cluster.lowerLimits();
              }),
          new Case(
              "all at once, limits lowered while records move",
              cluster -> {
                upgradeControllers(cluster, 0, 1, 2);
                for (int i = 0; cluster.state().get("g/format") == null && i < 300; i++) {
                  cluster.run(MICROS_PER_SECOND / 10);
                }
                cluster.run(MICROS_PER_SECOND / 10);
                cluster.lowerLimits();
              }),
          new Case(
              "limits lowered before the last is replaced",
              cluster -> {
                upgradeControllers(cluster, 0, 1);
                cluster.lowerLimits();
                cluster.run(10 * MICROS_PER_SECOND);
                upgradeControllers(cluster, 2);
              }),
          new Case(
              "a controller restarts with the first version before its turn",
              cluster -> {
                upgradeControllers(cluster, 0);
                cluster.kill(1);
                cluster.run(2 * MICROS_PER_SECOND);
                cluster.start(1);
                cluster.run(6 * MICROS_PER_SECOND);
                upgradeControllers(cluster, 2);
                upgradeControllers(cluster, 1);
                cluster.run(3 * MICROS_PER_SECOND);
                cluster.lowerLimits();
              }),
          new Case(
              "all controllers end midway through the upgrade",
              cluster -> {
                upgradeControllers(cluster, 0);
                cluster.kill(0);
                cluster.kill(1);
                cluster.kill(2);
                cluster.run(12 * MICROS_PER_SECOND);
                cluster.start(0);
                cluster.start(1);
                cluster.start(2);
                cluster.run(6 * MICROS_PER_SECOND);
                upgradeControllers(cluster, 1);
                upgradeControllers(cluster, 2);
                cluster.run(MICROS_PER_SECOND);
                cluster.lowerLimits();
              }),
          new Case(
              "an outage midway through the upgrade, and late transactions",
              cluster -> {
                cluster.faults().lateCommitShare(0.2);
                upgradeControllers(cluster, 0, 1);
                cluster.faults().stateOutage(true);
                cluster.run(15 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(false);
                upgradeControllers(cluster, 2);
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.faults().lateCommitShare(0);
                cluster.lowerLimits();
              }),
          new Case(
              "a controller ends while records move",
              cluster -> {
                upgradeControllers(cluster, 0, 1, 2);
                for (int i = 0; cluster.state().get("g/format") == null && i < 300; i++) {
                  cluster.run(MICROS_PER_SECOND / 10);
                }
                cluster.kill(2);
                cluster.run(3 * MICROS_PER_SECOND);
                cluster.lowerLimits();
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.start(2);
              }));

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndRecordsFitLimits() {
    return CASES.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> runCase(testCase)));
  }

  private static SimulatedCluster firstVersionCluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(NODES, seed, SCALE);
    for (int i = 0; i < NODES; i++) {
      cluster.impersonateFirstVersion(i, true);
    }
    cluster.startPolling();
    cluster.run(4 * MICROS_PER_SECOND);
    cluster.taskDuration(60 * MICROS_PER_SECOND);
    for (int i = 0; i < SERVICES; i++) {
      cluster.submit(i % NODES, job("req-web-" + i, "service", REPLICAS));
    }
    for (int i = 0; i < 50; i++) {
      cluster.submit(i % NODES, job("req-old-" + i, "array", 12));
    }
    cluster.run(30 * MICROS_PER_SECOND);
    // Without a segment that has to be split the cases would test little.
    assertTrue(
        cluster.state().keys("g/sl/").stream()
            .anyMatch(key -> Json.bytes(cluster.state().get(key)).length > NEXT_VALUE_BYTES));
    return cluster;
  }

  private static void runCase(Case testCase) {
    SimulatedCluster cluster = firstVersionCluster(41);
    assertNull(cluster.state().get("g/format"));
    testCase.upgrade().accept(cluster);
    cluster.run(10 * MICROS_PER_SECOND);
    cluster.taskDuration(6 * MICROS_PER_SECOND);
    cluster.submit(0, job("req-first", "array", 60));
    cluster.submit(1, job("req-web-new", "service", 5));
    cluster.run(2 * MICROS_PER_SECOND);
    cluster.submit(2, jobAfter("req-second", 30, "req-first", "req-old-1"));
    cluster.expectRecovery();
    cluster.run(120 * MICROS_PER_SECOND);
    assertEquals(List.of(), cluster.violations());
    assertTrue(cluster.state().get("g/format") != null, "no storage format");
    for (String id : cluster.jobs()) {
      assertEquals(id.startsWith("req-web") ? "running" : "done", cluster.phase(id), id);
    }
    assertEquals(SERVICES * REPLICAS + 5, cluster.tasksOnMachines());
    for (String key : cluster.state().keys("g/")) {
      int bytes = Json.bytes(cluster.state().get(key)).length;
      assertTrue(bytes <= NEXT_VALUE_BYTES, key + " has bytes: " + bytes);
      assertTrue(!key.matches("g/sl/[0-9]+/[aw][0-9]"), key + " belongs to the former layout");
    }
    assertTrue(
        cluster.state().rejectedForSize() <= MAX_REJECTED,
        cluster.state().rejectedForSize() + " transactions rejected");
  }

  @Test
  void noStorageFormatWhileAControllerIsDownOrOld() {
    SimulatedCluster cluster = firstVersionCluster(42);
    upgradeControllers(cluster, 0);
    upgradeControllers(cluster, 1);
    cluster.kill(2);
    cluster.run(40 * MICROS_PER_SECOND);
    assertNull(cluster.state().get("g/format"));
    cluster.start(2);
    cluster.run(20 * MICROS_PER_SECOND);
    assertNull(cluster.state().get("g/format"));
    upgradeControllers(cluster, 2);
    cluster.run(5 * MICROS_PER_SECOND);
    Map<String, Object> format = cluster.state().get("g/format");
    assertEquals(4L, Json.longValue(format, "split", 0));
    assertEquals(List.of(), cluster.violations());
  }
}
