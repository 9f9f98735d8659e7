package gladeknot.connectivity;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.settings.Features;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import gladeknot.standin.DirectionalCuts.Way;
import gladeknot.standin.FeatureSettings;
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
 * Links that fail in part, in three controllers with all around them: no rule breaks while users go
 * on asking, and once all is well nothing is forgotten or left waiting, and every job ends.
 */
class PartialCutsTest {
  private static final long LEASE = ClusterSettings.LEASE;
  private static final long CANCEL = ClusterSettings.CANCEL;

  private static final int MAX_STARTED_AGAIN = 10;

  private record Case(String name, long seed, Consumer<SimulatedCluster> faults) {}

  private static final List<Case> CASES = cases();

  private static List<Case> cases() {
    List<Case> cases = new ArrayList<>();
    for (Way way : Way.values()) {
      cases.add(new Case("one way: " + way, 100 + way.ordinal(), w -> oneWay(w, way)));
    }
    cases.add(new Case("state lost: dropped", 110, w -> cutFor(w, Way.STATE_REQUESTS, 40)));
    cases.add(new Case("state lost: refused", 111, PartialCutsTest::connectionsRefused));
    cases.add(new Case("state lost: 503 to one alone", 112, PartialCutsTest::refusedAlone));
    cases.add(new Case("state slow to beyond a lease", 113, PartialCutsTest::slowState));
    cases.add(new Case("workers lost, state reached", 114, PartialCutsTest::workersLost));
    cases.add(new Case("peers lost alone", 115, PartialCutsTest::peersLost));
    cases.add(new Case("one peer does not hear another", 116, PartialCutsTest::peersOneWay));
    for (long periodMillis : new long[] {300, 1000, 4000, 8000, 10000}) {
      cases.add(
          new Case(
              "state flaps every " + periodMillis + " ms",
              120 + periodMillis,
              w -> flap(w, Way.STATE_ANSWERS, periodMillis * 1000)));
    }
    cases.add(new Case("reports flap every 2 s", 130, w -> flap(w, Way.REPORTS, 2 * SECOND)));
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

  private static void oneWay(SimulatedCluster w, Way way) {
    w.faults().cuts().set(0, way, true);
    w.run(SECOND);
    w.cancel(1, "req-cut");
    w.run(40 * SECOND);
    w.faults().cuts().set(0, way, false);
  }

  private static void cutFor(SimulatedCluster w, Way way, int seconds) {
    w.faults().cuts().set(0, way, true);
    w.run(seconds * SECOND);
    w.faults().cuts().set(0, way, false);
  }

  private static void connectionsRefused(SimulatedCluster w) {
    w.faults().cuts().setRefused(0, true);
    w.run(SECOND);
    w.cancel(1, "req-cut");
    w.run(40 * SECOND);
    w.faults().cuts().setRefused(0, false);
  }

  private static void refusedAlone(SimulatedCluster w) {
    w.faults().rejectStateCalls(0, true);
    w.run(SECOND);
    w.cancel(1, "req-cut");
    w.run(40 * SECOND);
    w.faults().rejectStateCalls(0, false);
  }

  private static void slowState(SimulatedCluster w) {
    w.faults().delayStateCalls(LEASE + SECOND);
    w.run(30 * SECOND);
    w.faults().delayStateCalls(0);
  }

  private static void workersLost(SimulatedCluster w) {
    w.faults().disconnectFromWorkers(0, true);
    w.run(2 * SECOND);
    w.cancel(1, "req-cut");
    w.run(60 * SECOND);
    w.faults().disconnectFromWorkers(0, false);
  }

  private static void peersLost(SimulatedCluster w) {
    w.faults().disconnectFromPeers(0, true);
    w.run(40 * SECOND);
    w.faults().disconnectFromPeers(0, false);
  }

  private static void peersOneWay(SimulatedCluster w) {
    w.faults().cuts().setPeer(1, 0, true);
    w.run(10 * SECOND);
    w.faults().cuts().set(0, Way.STATE_REQUESTS, true);
    w.run(30 * SECOND);
    w.faults().cuts().clear();
  }

  private static void flap(SimulatedCluster w, Way way, long periodMicros) {
    for (long t = 0; t < 120 * SECOND; t += periodMicros) {
      w.faults().cuts().set(0, way, true);
      w.run(periodMicros / 2);
      w.faults().cuts().set(0, way, false);
      w.run(periodMicros - periodMicros / 2);
    }
  }

  private static void twoCut(SimulatedCluster w) {
    w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
    w.faults().disconnectFromWorkers(1, true);
    w.run(SECOND);
    w.cancel(2, "req-cut");
    w.run(40 * SECOND);
    w.faults().cuts().clear();
    w.faults().disconnectFromWorkers(1, false);
  }

  private static void takerCut(SimulatedCluster w) {
    w.faults().cuts().set(0, Way.STATE_REQUESTS, true);
    for (int i = 0; i < 80 && "node-0".equals(w.owner(0)); i++) {
      w.run(SECOND / 10);
    }
    w.faults().cuts().set(1, Way.STATE_ANSWERS, true);
    w.faults().cuts().set(2, Way.STATE_ANSWERS, true);
    w.run(15 * SECOND);
    w.faults().cuts().set(1, Way.STATE_ANSWERS, false);
    w.run(20 * SECOND);
    w.faults().cuts().clear();
  }

  private static void ownerBack(SimulatedCluster w) {
    for (int i = 0; i < 24; i++) {
      w.faults().loseCommitResponses(i % 2);
      w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
      w.run(4_500_000 + i * 100_000L);
      w.faults().cuts().set(0, Way.STATE_ANSWERS, false);
      w.run(40 * SECOND);
    }
  }

  private static void restarted(SimulatedCluster w) {
    for (int i = 0; i < 24; i++) {
      w.faults().loseCommitResponses(i % 2);
      w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
      w.run(4_500_000 + i * 100_000L);
      w.kill(0);
      w.run(200_000);
      w.faults().cuts().clear();
      w.start(0);
      w.run(40 * SECOND);
    }
  }

  private static void cancelled(SimulatedCluster w) {
    w.submit(0, TestJobs.job("req-new", "array", 8));
    w.faults().loseCommitResponses(2);
    w.run(SECOND);
    w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
    w.run(200_000);
    w.cancel(1, "req-cut");
    w.run(CANCEL + 10 * SECOND);
    w.faults().cuts().clear();
  }

  private static void halfCut(SimulatedCluster w) {
    for (int i = 0; i < w.machineCount() / 2; i++) {
      w.machineFaults().dropResponses(2 * i, true);
    }
    w.run(40 * SECOND);
    for (int i = 0; i < w.machineCount() / 2; i++) {
      w.machineFaults().dropResponses(2 * i, false);
    }
  }

  private static void zoneCut(SimulatedCluster w) {
    w.faults().partitionZone("a", Set.of(1, 2));
    w.run(2 * SECOND);
    w.cancel(1, "req-cut");
    w.run(60 * SECOND);
    w.faults().healPartitions();
  }

  private static void copies(SimulatedCluster w) {
    w.faults().duplicateHeartbeats(true);
    w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
    w.machineFaults().captureHeartbeats();
    w.run(20 * SECOND);
    w.machineFaults().deliverCapturedHeartbeats(0);
    w.machineFaults().deliverCapturedHeartbeats(1);
    w.run(10 * SECOND);
    w.faults().cuts().clear();
    w.run(10 * SECOND);
    w.machineFaults().deliverCapturedHeartbeats(0);
    w.faults().duplicateHeartbeats(false);
  }

  private static void longCut(SimulatedCluster w) {
    w.faults().cuts().set(0, Way.STATE_REQUESTS, true);
    for (int i = 0; i < 10; i++) {
      w.submit(1 + i % 2, TestJobs.job("req-more" + i, "array", 12));
      w.run(8 * SECOND);
    }
    w.faults().cuts().clear();
    w.run(100 * SECOND);
    // 40 + 3 + 4 + 5 and ten times 12 tasks: on return nothing is started that need not be.
    int tasks = 172;
    assertTrue(w.starts() >= tasks, "starts: " + w.starts());
    assertTrue(w.starts() <= tasks + MAX_STARTED_AGAIN, "starts: " + w.starts());
  }

  /** Renewals arrive all the time: without its owner's own doing the shard would stay there. */
  private static void answersAndPeersLost(SimulatedCluster w) {
    w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
    w.faults().disconnectFromPeers(0, true);
    w.run(SECOND);
    w.cancel(1, "req-cut");
    w.run(45 * SECOND);
    assertNotEquals("node-0", w.owner(0));
    w.faults().cuts().clear();
    w.faults().disconnectFromPeers(0, false);
  }

  /** Direct commands get through, so that the home looks well whenever it is asked. */
  private static void answersLostLong(SimulatedCluster w) {
    long terms = w.terms();
    w.faults().cuts().set(0, Way.REPORT_ANSWERS, true);
    w.run(300 * SECOND);
    w.faults().cuts().clear();
    assertTrue(w.terms() - terms <= 10, "new terms: " + (w.terms() - terms));
  }

  /** The one that is left with the feature is no better placed than the old one: leases decide. */
  private static void besideOldVersion(SimulatedCluster w) {
    for (int old : new int[] {1, 2}) {
      w.kill(old);
      w.useFeatures(old, Features.NONE);
      w.impersonateFirstVersion(old, true);
      w.start(old);
    }
    w.run(20 * SECOND);
    w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
    w.run(SECOND);
    w.cancel(1, "req-cut");
    w.run(40 * SECOND);
    assertNotEquals("node-0", w.owner(0));
    w.faults().cuts().clear();
  }

  private static void besideOneWithout(SimulatedCluster w) {
    w.kill(1);
    w.useFeatures(1, Features.NONE);
    w.start(1);
    w.run(20 * SECOND);
    w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
    w.run(12 * SECOND);
    assertEquals("node-2", w.owner(0));
    w.run(20 * SECOND);
    w.faults().cuts().clear();
  }

  private static void latePeers(SimulatedCluster w) {
    w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
    w.run(4_500_000);
    w.faults().delayPeerMessages(15 * SECOND);
    w.run(3 * SECOND);
    w.faults().cuts().clear();
    w.run(20 * SECOND);
    w.faults().cuts().set(0, Way.STATE_ANSWERS, true);
    w.run(8 * SECOND);
    w.faults().cuts().clear();
    w.run(30 * SECOND);
    w.faults().delayPeerMessages(0);
  }

  private static void outage(SimulatedCluster w) {
    w.faults().stateOutage(true);
    w.run(SECOND);
    w.run(2 * CANCEL);
    w.faults().stateOutage(false);
  }

  private static final Features ON = FeatureSettings.partialCuts();

  @TestFactory
  Stream<DynamicTest> noRuleBreaksAndNothingIsForgotten() {
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(c, ON)));
  }

  private static void play(Case c, Features features) {
    SimulatedCluster w = new SimulatedCluster(3, c.seed(), ClusterScale.SMALL, features);
    w.startPolling();
    w.run(3 * SECOND);
    w.submit(0, TestJobs.job("req-array", "array", 40));
    w.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    w.submit(2, TestJobs.job("req-web", "service", 4));
    w.submit(0, TestJobs.job("req-cut", "service", 5));
    w.run(15 * SECOND);
    c.faults().accept(w);
    w.expectRecovery();
    for (int i = 0; i < 26 && (i < 10 || !ended(w)); i++) {
      w.run(10 * SECOND);
    }
    assertEquals(List.of(), w.violations());
    for (String id : w.jobs()) {
      String phase = w.phase(id);
      if (!id.equals("req-cut")) {
        assertEquals(id.equals("req-web") ? "running" : "done", phase, id);
      }
    }
  }

  private static boolean ended(SimulatedCluster w) {
    return w.jobs().stream()
        .allMatch(
            id -> Set.of("done", "withdrawn").contains(w.phase(id)) || id.startsWith("req-web"));
  }
}
