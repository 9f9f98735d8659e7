package gladeknot.connectivity;

import static gladeknot.standin.SimulatedCluster.SECOND;
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
 * Partial partitions around three controllers: no invariant breaks while users keep polling, and
 * after the faults are removed nothing is forgotten or left waiting, and every job ends.
 */
class PartialCutsTest {
  private static final long LEASE = ClusterSettings.LEASE;
  private static final long CANCEL = ClusterSettings.CANCEL;

  private static final int MAX_STARTED_AGAIN = 10;

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
              "one way: " + direction,
              100 + direction.ordinal(),
              cluster -> oneWay(cluster, direction)));
    }
    cases.add(
        new Case(
            "state lost: dropped", 110, cluster -> cutFor(cluster, Direction.STATE_REQUESTS, 40)));
    cases.add(new Case("state lost: refused", 111, PartialCutsTest::connectionsRefused));
    cases.add(new Case("state lost: 503 to one alone", 112, PartialCutsTest::refusedAlone));
    cases.add(new Case("state slow to beyond a lease", 113, PartialCutsTest::slowState));
    cases.add(new Case("workers lost, state reached", 114, PartialCutsTest::workersLost));
    cases.add(new Case("peers lost alone", 115, PartialCutsTest::peersLost));
    cases.add(new Case("one peer receives nothing of another", 116, PartialCutsTest::peersOneWay));
    for (long periodMillis : new long[] {300, 1000, 4000, 8000, 10000}) {
      cases.add(
          new Case(
              "state flaps every " + periodMillis + " ms",
              120 + periodMillis,
              cluster -> flap(cluster, Direction.STATE_ANSWERS, periodMillis * 1000)));
    }
    cases.add(
        new Case(
            "reports flap every 2 s",
            130,
            cluster -> flap(cluster, Direction.REPORTS, 2 * SECOND)));
    return cases;
  }

  private static List<Case> combinedCases() {
    List<Case> cases = new ArrayList<>();
    cases.add(new Case("two cut from different things", 131, PartialCutsTest::twoCut));
    cases.add(new Case("the taker is cut while it takes", 132, PartialCutsTest::takerCut));
    cases.add(new Case("the owner is back in mid-take-over", 133, PartialCutsTest::ownerBack));
    cases.add(new Case("a restart in the same second", 134, PartialCutsTest::restarted));
    cases.add(new Case("a lost answer, a cut, a cancellation", 135, PartialCutsTest::cancelled));
    cases.add(new Case("cut from half of the workers", 136, PartialCutsTest::halfCut));
    cases.add(new Case("cut from one zone", 137, PartialCutsTest::zoneCut));
    cases.add(new Case("late copies of reports through the cut", 138, PartialCutsTest::copies));
    cases.add(new Case("much work beside a long cut", 139, PartialCutsTest::longCut));
    cases.add(new Case("state answers and peers lost", 141, PartialCutsTest::answersAndPeersLost));
    cases.add(new Case("a long cut of answers to reports", 142, PartialCutsTest::answersLostLong));
    cases.add(new Case("beside the version before", 143, PartialCutsTest::besideOldVersion));
    cases.add(new Case("beside one without the feature", 144, PartialCutsTest::besideOneWithout));
    cases.add(new Case("records between controllers come late", 145, PartialCutsTest::latePeers));
    cases.add(new Case("the state service is out for all", 140, PartialCutsTest::outage));
    return cases;
  }

  private static void oneWay(SimulatedCluster cluster, Direction direction) {
    cluster.faults().links().setDropped(0, direction, true);
    cluster.run(SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(40 * SECOND);
    cluster.faults().links().setDropped(0, direction, false);
  }

  private static void cutFor(SimulatedCluster cluster, Direction direction, int seconds) {
    cluster.faults().links().setDropped(0, direction, true);
    cluster.run(seconds * SECOND);
    cluster.faults().links().setDropped(0, direction, false);
  }

  private static void connectionsRefused(SimulatedCluster cluster) {
    cluster.faults().links().setRefused(0, true);
    cluster.run(SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(40 * SECOND);
    cluster.faults().links().setRefused(0, false);
  }

  private static void refusedAlone(SimulatedCluster cluster) {
    cluster.faults().rejectStateCalls(0, true);
    cluster.run(SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(40 * SECOND);
    cluster.faults().rejectStateCalls(0, false);
  }

  private static void slowState(SimulatedCluster cluster) {
    cluster.faults().delayStateCalls(LEASE + SECOND);
    cluster.run(30 * SECOND);
    cluster.faults().delayStateCalls(0);
  }

  private static void workersLost(SimulatedCluster cluster) {
    cluster.faults().disconnectFromWorkers(0, true);
    cluster.run(2 * SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(60 * SECOND);
    cluster.faults().disconnectFromWorkers(0, false);
  }

  private static void peersLost(SimulatedCluster cluster) {
    cluster.faults().disconnectFromPeers(0, true);
    cluster.run(40 * SECOND);
    cluster.faults().disconnectFromPeers(0, false);
  }

  private static void peersOneWay(SimulatedCluster cluster) {
    cluster.faults().links().setPeerDropped(1, 0, true);
    cluster.run(10 * SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_REQUESTS, true);
    cluster.run(30 * SECOND);
    cluster.faults().links().heal();
  }

  private static void flap(SimulatedCluster cluster, Direction direction, long periodMicros) {
    for (long elapsed = 0; elapsed < 120 * SECOND; elapsed += periodMicros) {
      cluster.faults().links().setDropped(0, direction, true);
      cluster.run(periodMicros / 2);
      cluster.faults().links().setDropped(0, direction, false);
      cluster.run(periodMicros - periodMicros / 2);
    }
  }

  private static void twoCut(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.faults().disconnectFromWorkers(1, true);
    cluster.run(SECOND);
    cluster.cancel(2, "req-cut");
    cluster.run(40 * SECOND);
    cluster.faults().links().heal();
    cluster.faults().disconnectFromWorkers(1, false);
  }

  private static void takerCut(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_REQUESTS, true);
    for (int i = 0; i < 80 && "node-0".equals(cluster.owner(0)); i++) {
      cluster.run(SECOND / 10);
    }
    cluster.faults().links().setDropped(1, Direction.STATE_ANSWERS, true);
    cluster.faults().links().setDropped(2, Direction.STATE_ANSWERS, true);
    cluster.run(15 * SECOND);
    cluster.faults().links().setDropped(1, Direction.STATE_ANSWERS, false);
    cluster.run(20 * SECOND);
    cluster.faults().links().heal();
  }

  private static void ownerBack(SimulatedCluster cluster) {
    for (int i = 0; i < 24; i++) {
      cluster.faults().loseCommitResponses(i % 2);
      cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
      cluster.run(4_500_000 + i * 100_000L);
      cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, false);
      cluster.run(40 * SECOND);
    }
  }

  private static void restarted(SimulatedCluster cluster) {
    for (int i = 0; i < 24; i++) {
      cluster.faults().loseCommitResponses(i % 2);
      cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
      cluster.run(4_500_000 + i * 100_000L);
      cluster.kill(0);
      cluster.run(200_000);
      cluster.faults().links().heal();
      cluster.start(0);
      cluster.run(40 * SECOND);
    }
  }

  private static void cancelled(SimulatedCluster cluster) {
    cluster.submit(0, TestJobs.job("req-new", "array", 8));
    cluster.faults().loseCommitResponses(2);
    cluster.run(SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(200_000);
    cluster.cancel(1, "req-cut");
    cluster.run(CANCEL + 10 * SECOND);
    cluster.faults().links().heal();
  }

  private static void halfCut(SimulatedCluster cluster) {
    for (int i = 0; i < cluster.machineCount() / 2; i++) {
      cluster.machineFaults().dropResponses(2 * i, true);
    }
    cluster.run(40 * SECOND);
    for (int i = 0; i < cluster.machineCount() / 2; i++) {
      cluster.machineFaults().dropResponses(2 * i, false);
    }
  }

  private static void zoneCut(SimulatedCluster cluster) {
    cluster.faults().partitionZone("a", Set.of(1, 2));
    cluster.run(2 * SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(60 * SECOND);
    cluster.faults().healPartitions();
  }

  private static void copies(SimulatedCluster cluster) {
    cluster.faults().duplicateHeartbeats(true);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.machineFaults().captureHeartbeats();
    cluster.run(20 * SECOND);
    cluster.machineFaults().deliverCapturedHeartbeats(0);
    cluster.machineFaults().deliverCapturedHeartbeats(1);
    cluster.run(10 * SECOND);
    cluster.faults().links().heal();
    cluster.run(10 * SECOND);
    cluster.machineFaults().deliverCapturedHeartbeats(0);
    cluster.faults().duplicateHeartbeats(false);
  }

  private static void longCut(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_REQUESTS, true);
    for (int i = 0; i < 10; i++) {
      cluster.submit(1 + i % 2, TestJobs.job("req-more" + i, "array", 12));
      cluster.run(8 * SECOND);
    }
    cluster.faults().links().heal();
    cluster.run(100 * SECOND);
    // 40 + 3 + 4 + 5 and ten times 12 tasks: on return nothing is started that need not be.
    int tasks = 172;
    assertTrue(cluster.starts() >= tasks, "starts: " + cluster.starts());
    assertTrue(cluster.starts() <= tasks + MAX_STARTED_AGAIN, "starts: " + cluster.starts());
  }

  /** Lease renewals still arrive: the shard moves only if its owner relinquishes it. */
  private static void answersAndPeersLost(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.faults().disconnectFromPeers(0, true);
    cluster.run(SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(45 * SECOND);
    assertNotEquals("node-0", cluster.owner(0));
    cluster.faults().links().heal();
    cluster.faults().disconnectFromPeers(0, false);
  }

  /** Direct commands arrive, so that the home shard's node looks reachable to every probe. */
  private static void answersLostLong(SimulatedCluster cluster) {
    long terms = cluster.terms();
    cluster.faults().links().setDropped(0, Direction.REPORT_ANSWERS, true);
    cluster.run(300 * SECOND);
    cluster.faults().links().heal();
    assertTrue(cluster.terms() - terms <= 10, "new terms: " + (cluster.terms() - terms));
  }

  /**
   * The one controller with the feature is no better connected than the old ones: leases decide.
   */
  private static void besideOldVersion(SimulatedCluster cluster) {
    for (int old : new int[] {1, 2}) {
      cluster.kill(old);
      cluster.useFeatures(old, Features.NONE);
      cluster.impersonateFirstVersion(old, true);
      cluster.start(old);
    }
    cluster.run(20 * SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(SECOND);
    cluster.cancel(1, "req-cut");
    cluster.run(40 * SECOND);
    assertNotEquals("node-0", cluster.owner(0));
    cluster.faults().links().heal();
  }

  private static void besideOneWithout(SimulatedCluster cluster) {
    cluster.kill(1);
    cluster.useFeatures(1, Features.NONE);
    cluster.start(1);
    cluster.run(20 * SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(12 * SECOND);
    assertEquals("node-2", cluster.owner(0));
    cluster.run(20 * SECOND);
    cluster.faults().links().heal();
  }

  private static void latePeers(SimulatedCluster cluster) {
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(4_500_000);
    cluster.faults().delayPeerMessages(15 * SECOND);
    cluster.run(3 * SECOND);
    cluster.faults().links().heal();
    cluster.run(20 * SECOND);
    cluster.faults().links().setDropped(0, Direction.STATE_ANSWERS, true);
    cluster.run(8 * SECOND);
    cluster.faults().links().heal();
    cluster.run(30 * SECOND);
    cluster.faults().delayPeerMessages(0);
  }

  private static void outage(SimulatedCluster cluster) {
    cluster.faults().stateOutage(true);
    cluster.run(SECOND);
    cluster.run(2 * CANCEL);
    cluster.faults().stateOutage(false);
  }

  private static final Features ON = FeatureSettings.partialCuts();

  @TestFactory
  Stream<DynamicTest> noRuleBreaksAndNothingIsForgotten() {
    return CASES.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> play(testCase, ON)));
  }

  private static void play(Case testCase, Features features) {
    SimulatedCluster cluster =
        new SimulatedCluster(3, testCase.seed(), ClusterScale.SMALL, features);
    cluster.startPolling();
    cluster.run(3 * SECOND);
    cluster.submit(0, TestJobs.job("req-array", "array", 40));
    cluster.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    cluster.submit(2, TestJobs.job("req-web", "service", 4));
    cluster.submit(0, TestJobs.job("req-cut", "service", 5));
    cluster.run(15 * SECOND);
    testCase.faults().accept(cluster);
    cluster.expectRecovery();
    for (int i = 0; i < 26 && (i < 10 || !ended(cluster)); i++) {
      cluster.run(10 * SECOND);
    }
    assertEquals(List.of(), cluster.violations());
    for (String id : cluster.jobs()) {
      String phase = cluster.phase(id);
      if (!id.equals("req-cut")) {
        assertEquals(id.equals("req-web") ? "running" : "done", phase, id);
      }
    }
  }

  private static boolean ended(SimulatedCluster cluster) {
    return cluster.jobs().stream()
        .allMatch(
            id ->
                Set.of("done", "withdrawn").contains(cluster.phase(id))
                    || id.startsWith("req-web"));
  }
}
