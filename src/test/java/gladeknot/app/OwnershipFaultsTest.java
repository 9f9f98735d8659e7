package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.app.FaultScenarios.Case;
import gladeknot.standin.ClusterSettings;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Shard owners that end, relinquish shards and return while jobs start and end. */
class OwnershipFaultsTest {
  private static final List<Case> CASES =
      List.of(
          new Case(
              "jobs of two or three tasks end far apart across ownership transfers",
              7,
              cluster -> {
                cluster.submit(0, TestJobs.job("req-far1", "array", 3));
                cluster.submit(1, TestJobs.job("req-far2", "array", 2));
                cluster.submit(2, TestJobs.job("req-far3", "array", 3));
                cluster.run(3 * MICROS_PER_SECOND);
                cluster.kill(0);
                cluster.faults().loseCommitAnswers(2);
                cluster.run(18 * MICROS_PER_SECOND);
                cluster.start(0);
                cluster.run(2 * MICROS_PER_SECOND);
                cluster.kill(1, 2);
                cluster.run(25 * MICROS_PER_SECOND);
                cluster.start(1, 2);
              }),
          new Case(
              "owners change ten times in two minutes, also inside an outage",
              13,
              cluster -> {
                for (int i = 0; i < 10; i++) {
                  cluster.kill(i % 3);
                  cluster.faults().stateOutage(i == 4 || i == 5);
                  cluster.run(9 * MICROS_PER_SECOND);
                  cluster.start(i % 3);
                  cluster.run(3 * MICROS_PER_SECOND);
                }
                cluster.faults().stateOutage(false);
              }),
          new Case(
              "all controllers are down for longer than a lease",
              14,
              cluster -> {
                cluster.cancel(0, "req-cut");
                cluster.run(100_000);
                cluster.kill(0, 1, 2);
                cluster.run(ClusterSettings.LEASE_MICROS + 6 * MICROS_PER_SECOND);
                cluster.start(0, 1, 2);
              }),
          new Case(
              "failover and back, all controllers end, one returns, also within a second",
              15,
              cluster -> {
                cluster.kill(0);
                cluster.run(20 * MICROS_PER_SECOND);
                cluster.start(0);
                cluster.run(1_500_000);
                cluster.kill(0, 1, 2);
                cluster.run(400_000);
                cluster.start(1);
                cluster.run(15 * MICROS_PER_SECOND);
                cluster.kill(1);
                cluster.run(300_000);
                cluster.start(0, 1, 2);
              }),
          new Case(
              "an earlier incarnation's announcement is committed late, its lease expires first",
              23,
              cluster -> {
                // An unconditional announcement replaced the liveness key, which then expired with
                // the earlier incarnation's lease. The shard was taken over while its owner, whose
                // state calls were rejected at that moment, still answered its workers.
                cluster.kill(0);
                cluster.run(MICROS_PER_SECOND);
                cluster.faults().holdNextCommit("g/alive/node-0", 4 * MICROS_PER_SECOND);
                cluster.start(0);
                cluster.run(MICROS_PER_SECOND);
                cluster.kill(0);
                cluster.start(0);
                cluster.run(2_900_000);
                cluster.faults().rejectStateCalls(0, true);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().rejectStateCalls(0, false);
              }));

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndJobsSettle() {
    return FaultScenarios.tests(CASES);
  }

  /** An earlier incarnation's announcement that is applied late must not replace the key. */
  @Test
  void lateAnnouncementDoesNotReplaceLivenessKey() {
    // given
    SimulatedCluster cluster = FaultScenarios.clusterWithService(36);
    cluster.kill(0);
    cluster.run(MICROS_PER_SECOND);
    cluster.faults().holdNextCommit("g/alive/node-0", 4 * MICROS_PER_SECOND);
    cluster.start(0);
    cluster.run(MICROS_PER_SECOND);
    // when
    cluster.kill(0);
    cluster.start(0);
    cluster.run(2 * MICROS_PER_SECOND);
    // then
    Object incarnation = cluster.state().get("g/alive/node-0").get("inc");
    for (int i = 0; i < 300; i++) {
      cluster.run(10_000);
      assertEquals(incarnation, cluster.state().get("g/alive/node-0").get("inc"));
    }
  }

  /** Delegates renew leases in turn, so they must also send the kills of cancelled tasks. */
  @Test
  void delegatesKillCancelledTasks() {
    // given
    SimulatedCluster cluster = FaultScenarios.clusterWithService(35);
    cluster.submit(0, TestJobs.job("req-cut", "service", 8));
    cluster.run(6 * MICROS_PER_SECOND);
    // when
    cluster.kill(0);
    cluster.run(MICROS_PER_SECOND);
    cluster.cancel(1, "req-cut");
    // Node 0's lease lasts twice as long: its shard is not taken over yet, and its workers run on.
    cluster.run(6 * MICROS_PER_SECOND);
    // then
    assertEquals(Map.of(), cluster.zones("req-cut"));
    assertEquals(4, FaultScenarios.runningTasks(cluster, "req-web"));
  }
}
