package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.app.FaultScenarios.Case;
import gladeknot.standin.ClusterSettings;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Faults of the state service, combined with ownership transfers and cancellations. */
class StateServiceFaultsTest {
  private static final List<Case> CASES =
      List.of(
          new Case(
              "unanswered transactions are applied after newer ones",
              4,
              cluster -> {
                cluster.faults().lateCommitShare(0.3);
                cluster.submit(0, TestJobs.job("req-more", "array", 20));
                cluster.run(25 * MICROS_PER_SECOND);
                cluster.cancel(1, "req-cut");
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.faults().lateCommitShare(0);
                cluster.run(12 * MICROS_PER_SECOND);
              }),
          new Case(
              "one controller is refused, then an outage for all",
              10,
              cluster -> refuseThenOutage(cluster, 0, 2, 60)),
          new Case(
              "one controller is refused just before an outage for all",
              11,
              cluster -> refuseThenOutage(cluster, 1, 0.3, 40)),
          new Case(
              "one of five controllers is refused, then an outage for all",
              5,
              12,
              cluster -> refuseThenOutage(cluster, 3, 8, 33)),
          new Case(
              "the state service is slow, refuses one controller, then all, while users cancel",
              19,
              cluster -> {
                cluster.faults().delayStateCalls(900_000);
                cluster.submit(0, TestJobs.job("req-slow", "array", 12));
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.faults().rejectStateCalls(2, true);
                cluster.cancel(0, "req-cut");
                cluster.run(5 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(true);
                cluster.run(ClusterSettings.CANCEL_MICROS + 10 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(false);
                cluster.faults().rejectStateCalls(2, false);
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.faults().delayStateCalls(0);
              }),
          new Case(
              "writes of an earlier incarnation are applied late, repeatedly",
              21,
              cluster -> {
                for (int i = 0; i < 8; i++) {
                  cluster.faults().lateCommitShare(0.6);
                  cluster.kill(i % 3);
                  cluster.run(250_000);
                  cluster.start(i % 3);
                  cluster.run(900_000);
                  cluster.faults().lateCommitShare(0);
                  cluster.run(7 * MICROS_PER_SECOND);
                }
              }));

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndJobsSettle() {
    return FaultScenarios.tests(CASES);
  }

  private static void refuseThenOutage(
      SimulatedCluster cluster, int refusedNode, double secondsBeforeOutage, long outageSeconds) {
    cluster.faults().rejectStateCalls(refusedNode, true);
    int cancellingNode = (refusedNode + 1) % 3;
    cluster.run(200_000);
    cluster.cancel(cancellingNode, "req-cut");
    cluster.run((long) (secondsBeforeOutage * 1e6));
    cluster.faults().stateOutage(true);
    cluster.run(5 * MICROS_PER_SECOND);
    cluster.faults().rejectStateCalls(refusedNode, false);
    cluster.run(outageSeconds * MICROS_PER_SECOND);
    cluster.faults().stateOutage(false);
  }

  /**
   * An owner that lost the state service must not send committed starts, because their job may have
   * been cancelled meanwhile.
   */
  @Test
  void committedStartsAreNotSentFromStaleCache() {
    // given
    SimulatedCluster cluster = FaultScenarios.clusterWithService(32);
    cluster.submit(0, TestJobs.job("req-cut", "service", 6));
    cluster.run(60_000);
    for (int i = 0; i < cluster.machineCount(); i++) {
      cluster.machineFaults().blockOutbound(i, true);
    }
    cluster.run(900_000);
    // when
    for (int i = 0; i < 3; i++) {
      cluster.faults().disconnectFromPeers(i, true);
    }
    cluster.faults().rejectStateCalls(0, true);
    cluster.faults().rejectStateCalls(1, true);
    cluster.cancel(2, "req-cut");
    cluster.run(7_300_000);
    for (int i = 0; i < cluster.machineCount(); i++) {
      cluster.machineFaults().blockOutbound(i, false);
    }
    cluster.run(10 * MICROS_PER_SECOND);
    // then
    assertEquals("withdrawn", cluster.phase("req-cut"));
    assertEquals(List.of(), cluster.violations());
  }

  /**
   * A request that conflicts with a change missing from the controller's cache is refused with 503
   * rather than held until the stalled watch delivers that change.
   */
  @Test
  void conflictingRequestIsRefusedWhileWatchIsStalled() {
    // given
    SimulatedCluster cluster = FaultScenarios.clusterWithService(34);
    cluster.faults().stallWatch(2, true);
    cluster.run(300_000);
    cluster.submit(0, TestJobs.job("req-new", "array", 2));
    cluster.run(MICROS_PER_SECOND);
    int[] status = {0};
    // when
    cluster.request(
        2,
        "POST",
        "/work",
        TestJobs.job("req-new", "array", 2),
        answer -> status[0] = answer.status());
    cluster.run(4 * MICROS_PER_SECOND);
    // then
    assertEquals(503, status[0]);
    // when
    cluster.faults().stallWatch(2, false);
    cluster.run(15 * MICROS_PER_SECOND);
    cluster.request(
        2,
        "POST",
        "/work",
        TestJobs.job("req-new", "array", 2),
        answer -> status[0] = answer.status());
    cluster.run(2 * MICROS_PER_SECOND);
    // then
    assertEquals(200, status[0]);
  }
}
