package gladeknot.connectivity;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.settings.Features;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import gladeknot.standin.FeatureSettings;
import gladeknot.standin.LinkFaults.Direction;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Partial partitions around three controllers: no invariant is violated while users keep polling.
 * After the faults are removed, nothing is lost or left pending and every job completes.
 */
class PartialCutsTest {
  private static final long LEASE_MICROS = ClusterSettings.LEASE_MICROS;
  private static final long CANCEL_MICROS = ClusterSettings.CANCEL_MICROS;

  private static final int MAX_REPEATED_STARTS = 10;

  private record Case(String name, long seed, Consumer<SimulatedCluster> faults) {}

  private static final List<Case> CASES = cases();

  private static List<Case> cases() {
    List<Case> cases = new ArrayList<>(singleLinkCases());
    cases.addAll(combinedCases());
    return cases;
  }

  private static List<Case> singleLinkCases() {
    List<Case> cases = new ArrayList<>();
    for (Direction direction : Direction.values()) {
      cases.add(
          new Case(
              "one direction dropped: " + direction,
              100 + direction.ordinal(),
              cluster -> dropDirection(cluster, direction)));
    }
    cases.add(
        new Case(
            "state requests lost", 110, cluster -> dropFor(cluster, Direction.STATE_REQUESTS, 40)));
    cases.add(new Case("state connections refused", 111, PartialCutsTest::connectionsRefused));
    cases.add(new Case("state answers 503 to one controller", 112, PartialCutsTest::callsRejected));
    cases.add(new Case("state service slower than a lease", 113, PartialCutsTest::slowState));
    cases.add(new Case("only workers unreachable", 114, PartialCutsTest::workersUnreachable));
    cases.add(new Case("peers unreachable", 115, PartialCutsTest::peersUnreachable));
    cases.add(new Case("one peer direction dropped", 116, PartialCutsTest::peerDirectionDropped));
    for (long periodMillis : new long[] {300, 1000, 4000, 8000, 10000}) {
      cases.add(
          new Case(
              "state answers flap every " + periodMillis + " ms",
              120 + periodMillis,
              cluster -> flap(cluster, Direction.STATE_ANSWERS, periodMillis * 1000)));
    }
    cases.add(
        new Case(
            "reports flap every 2 s",
            130,
            cluster -> flap(cluster, Direction.REPORTS, 2 * MICROS_PER_SECOND)));
    return cases;
  }

  private static List<Case> combinedCases() {
    List<Case> cases = new ArrayList<>();
    cases.add(new Case("two controllers partitioned", 131, PartialCutsTest::twoPartitioned));
    cases.add(new Case("successor partitioned", 132, PartialCutsTest::successorPartitioned));
    cases.add(new Case("owner returns during failover", 133, PartialCutsTest::ownerReturns));
    cases.add(new Case("owner restarts during failover", 134, PartialCutsTest::ownerRestarts));
    cases.add(new Case("cancellation after lost responses", 135, PartialCutsTest::cancellation));
    cases.add(new Case("half of the workers unreachable", 136, PartialCutsTest::halfUnreachable));
    cases.add(new Case("partition from one zone", 137, PartialCutsTest::zonePartitioned));
    cases.add(
        new Case("duplicate, delayed heartbeats", 138, PartialCutsTest::heartbeatsDuplicated));
    cases.add(new Case("many jobs during a long partition", 139, PartialCutsTest::longPartition));
    cases.add(new Case("state answers and peers lost", 141, PartialCutsTest::answersAndPeersLost));
    cases.add(new Case("report answers lost for 300 s", 142, PartialCutsTest::reportAnswersLost));
    cases.add(new Case("peers of previous version", 143, PartialCutsTest::peersOfPreviousVersion));
    cases.add(new Case("one peer without the feature", 144, PartialCutsTest::peerWithoutFeature));
    cases.add(new Case("peer messages delayed", 145, PartialCutsTest::peerMessagesDelayed));
    cases.add(new Case("state service outage", 140, PartialCutsTest::stateOutage));
    return cases;
  }

  private static void dropDirection(SimulatedCluster cluster, Direction direction) {
    cluster.faults().links().setDropped(0, direction, true);
    cluster.run(MICROS_PER_SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(40 * MICROS_PER_SECOND);
    cluster.faults().links().setDropped(0, direction, false);
  }

  private static void dropFor(SimulatedCluster cluster, Direction direction, int seconds) {
    cluster.faults().links().setDropped(0, direction, true);
    cluster.run(seconds * MICROS_PER_SECOND);
    cluster.faults().links().setDropped(0, direction, false);
  }

  private static void connectionsRefused(SimulatedCluster cluster) {
    cluster.faults().links().setRefused(0, true);
    cluster.run(MICROS_PER_SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(40 * MICROS_PER_SECOND);
    cluster.faults().links().setRefused(0, false);
  }

  private static void callsRejected(SimulatedCluster cluster) {
    cluster.faults().rejectStateCalls(0, true);
    cluster.run(MICROS_PER_SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(40 * MICROS_PER_SECOND);
    cluster.faults().rejectStateCalls(0, false);
  }

  private static void slowState(SimulatedCluster cluster) {
    cluster.faults().delayStateCalls(LEASE_MICROS + MICROS_PER_SECOND);
    cluster.run(30 * MICROS_PER_SECOND);
    cluster.faults().delayStateCalls(0);
  }

  private static void workersUnreachable(SimulatedCluster cluster) {
    cluster.faults().disconnectFromWorkers(0, true);
    cluster.run(2 * MICROS_PER_SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(60 * MICROS_PER_SECOND);
    cluster.faults().disconnectFromWorkers(0, false);
  }

  private static void peersUnreachable(SimulatedCluster cluster) {
    cluster.faults().disconnectFromPeers(0, true);
    cluster.run(40 * MICROS_PER_SECOND);
    cluster.faults().disconnectFromPeers(0, false);
  }

  private static void peerDirectionDropped(SimulatedCluster cluster) {
    cluster.faults().links().setPeerDropped(1, 0, true);
    cluster.run(10 * MICROS_PER_SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_REQUESTS, true);
    cluster.run(30 * MICROS_PER_SECOND);
    cluster.faults().links().heal();
  }

  private static void flap(SimulatedCluster cluster, Direction direction, long periodMicros) {
    for (long elapsedMicros = 0;
        elapsedMicros < 120 * MICROS_PER_SECOND;
        elapsedMicros += periodMicros) {
      cluster.faults().links().setDropped(0, direction, true);
      cluster.run(periodMicros / 2);
      cluster.faults().links().setDropped(0, direction, false);
      cluster.run(periodMicros - periodMicros / 2);
    }
  }

  private static void twoPartitioned(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.faults().disconnectFromWorkers(1, true);
    cluster.run(MICROS_PER_SECOND);
    cluster.cancel(2, "req-cut");
    cluster.run(40 * MICROS_PER_SECOND);
    cluster.faults().links().heal();
    cluster.faults().disconnectFromWorkers(1, false);
  }

  private static void successorPartitioned(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_REQUESTS, true);
    for (int i = 0; i < 80 && "node-0".equals(cluster.owner(0)); i++) {
      cluster.run(MICROS_PER_SECOND / 10);
    }
    cluster.faults().links().setDropped(1, Direction.STATE_ANSWERS, true);
    cluster.faults().links().setDropped(2, Direction.STATE_ANSWERS, true);
    cluster.run(15 * MICROS_PER_SECOND);
    cluster.faults().links().setDropped(1, Direction.STATE_ANSWERS, false);
    cluster.run(20 * MICROS_PER_SECOND);
    cluster.faults().links().heal();
  }

  private static void ownerReturns(SimulatedCluster cluster) {
    for (int i = 0; i < 24; i++) {
      cluster.faults().loseCommitAnswers(i % 2);
      cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
      cluster.run(4_500_000 + i * 100_000L);
      cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, false);
      cluster.run(40 * MICROS_PER_SECOND);
    }
  }

  private static void ownerRestarts(SimulatedCluster cluster) {
    for (int i = 0; i < 24; i++) {
      cluster.faults().loseCommitAnswers(i % 2);
      cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
      cluster.run(4_500_000 + i * 100_000L);
      cluster.kill(0);
      cluster.run(200_000);
      cluster.faults().links().heal();
      cluster.start(0);
      cluster.run(40 * MICROS_PER_SECOND);
    }
  }

  private static void cancellation(SimulatedCluster cluster) {
    cluster.submit(0, TestJobs.job("req-new", "array", 8));
    cluster.faults().loseCommitAnswers(2);
    cluster.run(MICROS_PER_SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(200_000);
    cluster.cancel(1, "req-cut");
    cluster.run(CANCEL_MICROS + 10 * MICROS_PER_SECOND);
    cluster.faults().links().heal();
  }

  private static void halfUnreachable(SimulatedCluster cluster) {
    for (int i = 0; i < cluster.machineCount() / 2; i++) {
      cluster.machineFaults().dropResponses(2 * i, true);
    }
    cluster.run(40 * MICROS_PER_SECOND);
    for (int i = 0; i < cluster.machineCount() / 2; i++) {
      cluster.machineFaults().dropResponses(2 * i, false);
    }
  }

  private static void zonePartitioned(SimulatedCluster cluster) {
    cluster.faults().partitionZone("a", Set.of(1, 2));
    cluster.run(2 * MICROS_PER_SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(60 * MICROS_PER_SECOND);
    cluster.faults().healPartitions();
  }

  private static void heartbeatsDuplicated(SimulatedCluster cluster) {
    cluster.faults().duplicateHeartbeats(true);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.machineFaults().captureHeartbeats();
    cluster.run(20 * MICROS_PER_SECOND);
    cluster.machineFaults().deliverCapturedHeartbeats(0);
    cluster.machineFaults().deliverCapturedHeartbeats(1);
    cluster.run(10 * MICROS_PER_SECOND);
    cluster.faults().links().heal();
    cluster.run(10 * MICROS_PER_SECOND);
    cluster.machineFaults().deliverCapturedHeartbeats(0);
    cluster.faults().duplicateHeartbeats(false);
  }

  private static void longPartition(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_REQUESTS, true);
    for (int i = 0; i < 10; i++) {
      cluster.submit(1 + i % 2, TestJobs.job("req-more" + i, "array", 12));
      cluster.run(8 * MICROS_PER_SECOND);
    }
    cluster.faults().links().heal();
    cluster.run(100 * MICROS_PER_SECOND);
    // 40 + 3 + 4 + 5 + 10 * 12 tasks; the heal of the partition must cause no needless attempts.
    int tasks = 172;
    assertTrue(cluster.starts() >= tasks, "starts: " + cluster.starts());
    assertTrue(cluster.starts() <= tasks + MAX_REPEATED_STARTS, "starts: " + cluster.starts());
  }

  /** Lease renewals still arrive, so the shard moves only if its owner relinquishes it. */
  private static void answersAndPeersLost(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.faults().disconnectFromPeers(0, true);
    cluster.run(MICROS_PER_SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(45 * MICROS_PER_SECOND);
    assertNotEquals("node-0", cluster.owner(0));
    cluster.faults().links().heal();
    cluster.faults().disconnectFromPeers(0, false);
  }

  /** Commands still arrive at workers, so every probe shows the shard's home as reachable. */
  private static void reportAnswersLost(SimulatedCluster cluster) {
    long terms = cluster.terms();
    cluster.faults().links().setDropped(0, Direction.REPORT_ANSWERS, true);
    cluster.run(300 * MICROS_PER_SECOND);
    cluster.faults().links().heal();
    assertTrue(cluster.terms() - terms <= 10, "new terms: " + (cluster.terms() - terms));
  }

  /**
   * Peers of the previous version send no reachability records, so the only controller with the
   * feature has no candidate for its shard and leases alone decide.
   */
  private static void peersOfPreviousVersion(SimulatedCluster cluster) {
    for (int old : new int[] {1, 2}) {
      cluster.kill(old);
      cluster.useFeatures(old, Features.NONE);
      cluster.impersonateFirstVersion(old, true);
      cluster.start(old);
    }
    cluster.run(20 * MICROS_PER_SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(MICROS_PER_SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(40 * MICROS_PER_SECOND);
    assertNotEquals("node-0", cluster.owner(0));
    cluster.faults().links().heal();
  }

  private static void peerWithoutFeature(SimulatedCluster cluster) {
    cluster.kill(1);
    cluster.useFeatures(1, Features.NONE);
    cluster.start(1);
    cluster.run(20 * MICROS_PER_SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(12 * MICROS_PER_SECOND);
    assertEquals("node-2", cluster.owner(0));
    cluster.run(20 * MICROS_PER_SECOND);
    cluster.faults().links().heal();
  }

  private static void peerMessagesDelayed(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(4_500_000);
    cluster.faults().delayPeerMessages(15 * MICROS_PER_SECOND);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.faults().links().heal();
    cluster.run(20 * MICROS_PER_SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(8 * MICROS_PER_SECOND);
    cluster.faults().links().heal();
    cluster.run(30 * MICROS_PER_SECOND);
    cluster.faults().delayPeerMessages(0);
  }

  private static void stateOutage(SimulatedCluster cluster) {
    cluster.faults().stateOutage(true);
    cluster.run(MICROS_PER_SECOND);
    cluster.run(2 * CANCEL_MICROS);
    cluster.faults().stateOutage(false);
  }

  private static final Features FEATURES = FeatureSettings.partialCuts();

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndJobsComplete() {
    return CASES.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> run(testCase, FEATURES)));
  }

  private static void run(Case testCase, Features features) {
    SimulatedCluster cluster =
        new SimulatedCluster(3, testCase.seed(), ClusterScale.SMALL, features);
    cluster.startPolling();
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-array", "array", 40));
    cluster.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    cluster.submit(2, TestJobs.job("req-web", "service", 4));
    cluster.submit(0, TestJobs.job("req-cut", "service", 5));
    cluster.run(15 * MICROS_PER_SECOND);
    testCase.faults().accept(cluster);
    cluster.expectRecovery();
    for (int i = 0; i < 26 && (i < 10 || !allJobsEnded(cluster)); i++) {
      cluster.run(10 * MICROS_PER_SECOND);
    }
    assertEquals(List.of(), cluster.violations());
    for (String id : cluster.jobs()) {
      String phase = cluster.phase(id);
      if (!id.equals("req-cut")) {
        assertEquals(id.equals("req-web") ? "running" : "done", phase, id);
      }
    }
  }

  private static boolean allJobsEnded(SimulatedCluster cluster) {
    return cluster.jobs().stream()
        .allMatch(
            id ->
                Set.of("done", "withdrawn").contains(cluster.phase(id))
                    || id.startsWith("req-web"));
  }
}
