package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Troubles that meet. Each row brings one meeting about, in the order of the operators' list, while
 * users go on asking; then all is calm, nothing may be forgotten or left waiting, and what was
 * accepted comes to its end.
 */
class CombinedFaultsTest {
  private record Case(String name, int nodes, long seed, Consumer<SimulatedCluster> faults) {
    private Case(String name, long seed, Consumer<SimulatedCluster> faults) {
      this(name, 3, seed, faults);
    }
  }

  private static void crash(SimulatedCluster w, int... nodes) {
    for (int i : nodes) {
      w.kill(i);
    }
  }

  private static void back(SimulatedCluster w, int... nodes) {
    for (int i : nodes) {
      w.start(i);
    }
  }

  private static final List<Case> CASES =
      List.of(
          new Case(
              "a command or its answer is held up, and the machine goes on",
              1,
              w -> {
                w.faults().delayCommands(3 * SECOND);
                w.machineFaults().freeze(0, true);
                w.machineFaults().freeze(1, true);
                w.cancel(1, "req-cut");
                w.run(5 * SECOND);
                w.machineFaults().freeze(0, false);
                w.run(4 * SECOND);
                w.machineFaults().freeze(1, false);
                w.run(10 * SECOND);
                w.faults().delayCommands(0);
              }),
          new Case(
              "a report is held back until a new owner has acted",
              2,
              w -> {
                w.machineFaults().captureHeartbeats();
                crash(w, 0);
                w.run(20 * SECOND);
                w.machineFaults().deliverCapturedHeartbeats(1);
                w.machineFaults().deliverCapturedHeartbeats(2);
                w.run(3 * SECOND);
                back(w, 0);
                w.run(10 * SECOND);
                w.machineFaults().deliverCapturedHeartbeats(0);
                w.run(10 * SECOND);
              }),
          new Case(
              "an owner ends while machines can't be reached or don't hear the new one",
              3,
              w -> {
                w.machineFaults().dropResponses(0, true);
                w.machineFaults().blockOutbound(1, true);
                w.machineFaults().freeze(2, true);
                crash(w, 0, 1);
                w.run(20 * SECOND);
                w.machineFaults().freeze(2, false);
                w.run(5 * SECOND);
                w.machineFaults().dropResponses(0, false);
                w.machineFaults().blockOutbound(1, false);
                back(w, 0, 1);
                w.run(10 * SECOND);
              }),
          new Case(
              "transactions without an answer are carried out after newer ones",
              4,
              w -> {
                w.faults().lateCommitShare(0.3);
                w.submit(0, TestJobs.job("req-more", "array", 20));
                w.run(25 * SECOND);
                w.cancel(1, "req-cut");
                w.run(10 * SECOND);
                w.faults().lateCommitShare(0);
                w.run(12 * SECOND);
              }),
          new Case(
              "an owner loses state service and peers while jobs are cancelled elsewhere",
              5,
              w -> {
                w.faults().disconnectFromState(0, true);
                w.faults().disconnectFromPeers(0, true);
                w.run(SECOND);
                w.cancel(1, "req-cut");
                w.run(30 * SECOND);
                w.faults().disconnectFromState(0, false);
                w.faults().disconnectFromPeers(0, false);
              }),
          new Case(
              "a team at its limit, a change of owner, silent machines and a cancellation",
              6,
              w -> {
                w.taskDuration(15 * SECOND);
                w.submit(0, TestJobs.job("req-full", "array", 60));
                w.run(10 * SECOND);
                w.machineFaults().freeze(0, true);
                w.machineFaults().freeze(1, true);
                w.machineFaults().freeze(2, true);
                crash(w, 1);
                w.run(SECOND);
                w.cancel(0, "req-cut");
                w.cancel(2, "req-full");
                w.submit(0, TestJobs.job("req-next", "array", 40));
                w.run(6 * SECOND);
                w.machineFaults().freeze(0, false);
                w.run(18 * SECOND);
                w.machineFaults().freeze(1, false);
                w.machineFaults().freeze(2, false);
                back(w, 1);
                w.taskDuration(4 * SECOND);
              }),
          new Case(
              "jobs of two or three tasks end far apart across changes of owner",
              7,
              w -> {
                w.submit(0, TestJobs.job("req-far1", "array", 3));
                w.submit(1, TestJobs.job("req-far2", "array", 2));
                w.submit(2, TestJobs.job("req-far3", "array", 3));
                w.run(3 * SECOND);
                crash(w, 0);
                w.faults().loseCommitResponses(2);
                w.run(18 * SECOND);
                back(w, 0);
                w.run(2 * SECOND);
                crash(w, 1, 2);
                w.run(25 * SECOND);
                back(w, 1, 2);
              }),
          new Case(
              "more work than room, urgent and not, over slow links",
              8,
              w -> {
                w.faults().delayCommands(SECOND);
                w.faults().delayStateCalls(300_000);
                w.submit(0, TestJobs.job("req-bulk", "array", 90));
                w.run(5 * SECOND);
                for (int i = 0; i < 4; i++) {
                  w.submit(i % 3, TestJobs.job("req-web" + i, "service", 2));
                  w.submit(i % 3, TestJobs.job("req-gang" + i, "ensemble", 2));
                }
                w.run(30 * SECOND);
                w.faults().delayCommands(0);
                w.faults().delayStateCalls(0);
              }),
          new Case(
              "a zone with workers and a controller is cut off for longer than a lease",
              9,
              w -> {
                w.faults().isolateZone("b", 1);
                w.run(SECOND);
                w.cancel(0, "req-cut");
                w.run(ClusterSettings.LEASE + 20 * SECOND);
                w.faults().rejoinZone();
              }),
          new Case("the gap: refused alone, then an outage for all", 10, w -> gap(w, 0, 2, 60)),
          new Case("the gap, an owner refused just before", 11, w -> gap(w, 1, 0.3, 40)),
          new Case("the gap with five controllers", 5, 12, w -> gap(w, 3, 8, 33)),
          new Case(
              "owners change ten times in two minutes, also inside an outage",
              13,
              w -> {
                for (int i = 0; i < 10; i++) {
                  crash(w, i % 3);
                  w.faults().stateOutage(i == 4 || i == 5);
                  w.run(9 * SECOND);
                  back(w, i % 3);
                  w.run(3 * SECOND);
                }
                w.faults().stateOutage(false);
              }),
          new Case(
              "all controllers are away for longer than a lease",
              14,
              w -> {
                w.cancel(0, "req-cut");
                w.run(100_000);
                crash(w, 0, 1, 2);
                w.run(ClusterSettings.LEASE + 6 * SECOND);
                back(w, 0, 1, 2);
              }),
          new Case(
              "controllers hand over and back, all end, one returns, also within a second",
              15,
              w -> {
                crash(w, 0);
                w.run(20 * SECOND);
                back(w, 0);
                w.run(1_500_000);
                crash(w, 0, 1, 2);
                w.run(400_000);
                back(w, 1);
                w.run(15 * SECOND);
                crash(w, 1);
                w.run(300_000);
                back(w, 0, 1, 2);
              }),
          new Case(
              "jobs bound to one zone, arrays too, lose machines",
              16,
              w -> {
                Map<String, Object> array = TestJobs.job("req-zone1", "array", 12);
                array.put("glade", "b");
                Map<String, Object> service = TestJobs.job("req-webzone", "service", 3);
                service.put("glade", "a");
                service.put("scatter", false);
                Map<String, Object> gang = TestJobs.job("req-zone2", "ensemble", 3);
                gang.put("glade", "b");
                w.submit(0, array);
                w.submit(1, service);
                w.submit(2, gang);
                w.run(4 * SECOND);
                for (int i = 0; i < 5; i++) {
                  w.machineFaults().kill(0);
                }
                w.run(5 * SECOND);
                w.machineFaults().kill(1);
                w.machineFaults().kill(1);
              }),
          new Case(
              "machines reach no controller while commands reach them",
              17,
              w -> {
                for (int i = 0; i < 4; i++) {
                  w.machineFaults().blockOutbound(i, true);
                }
                w.run(SECOND);
                crash(w, 0);
                w.cancel(1, "req-cut");
                w.run(30 * SECOND);
                back(w, 0);
                for (int i = 0; i < 4; i++) {
                  w.machineFaults().blockOutbound(i, false);
                }
              }),
          new Case(
              "old reports come after newer ones, also of earlier sessions and attempts",
              18,
              w -> {
                w.faults().duplicateHeartbeats(true);
                w.machineFaults().captureHeartbeats();
                w.machineFaults().dropResponses(0, true);
                w.machineFaults().dropResponses(1, true);
                w.run(12 * SECOND);
                w.machineFaults().dropResponses(0, false);
                w.machineFaults().dropResponses(1, false);
                w.machineFaults().deliverCapturedHeartbeats(0);
                w.run(3 * SECOND);
                w.machineFaults().captureHeartbeats();
                crash(w, 2);
                w.run(17 * SECOND);
                w.machineFaults().deliverCapturedHeartbeats(0);
                w.machineFaults().deliverCapturedHeartbeats(1);
                back(w, 2);
                w.run(5 * SECOND);
                w.machineFaults().deliverCapturedHeartbeats(2);
                w.run(30 * SECOND);
                w.faults().duplicateHeartbeats(false);
              }),
          new Case(
              "the state service answers slowly, refuses one and then all, while users cancel",
              19,
              w -> {
                w.faults().delayStateCalls(900_000);
                w.submit(0, TestJobs.job("req-slow", "array", 12));
                w.run(10 * SECOND);
                w.faults().rejectStateCalls(2, true);
                w.cancel(0, "req-cut");
                w.run(5 * SECOND);
                w.faults().stateOutage(true);
                w.run(ClusterSettings.CANCEL + 10 * SECOND);
                w.faults().stateOutage(false);
                w.faults().rejectStateCalls(2, false);
                w.run(10 * SECOND);
                w.faults().delayStateCalls(0);
              }),
          new Case(
              "an owner is cut from its workers alone, and jobs are cancelled",
              5,
              20,
              w -> {
                w.faults().disconnectFromWorkers(0, true);
                w.run(2 * SECOND);
                w.cancel(1, "req-cut");
                w.run(40 * SECOND);
                w.faults().disconnectFromWorkers(0, false);
              }),
          new Case(
              "two zones apart: delegates in turn renew leases while jobs are cancelled",
              5,
              22,
              w -> {
                // Every owner goes on in its own zone, so that none gives its shard away; without
                // kills by delegates a cancelled task lasted for as long as they took turns.
                w.faults().partitionZone("a", Set.of(0, 1));
                w.faults().partitionZone("b", Set.of(2, 3, 4));
                w.run(4 * SECOND);
                w.cancel(1, "req-cut");
                w.run(60 * SECOND);
                w.faults().healPartitions();
              }),
          new Case(
              "a former life's announcement comes late, and its lease ends before ours",
              23,
              w -> {
                // Unconditional, it took the liveness key along; the shard was taken while its
                // owner, refused by the state service just then, still answered its workers.
                crash(w, 0);
                w.run(SECOND);
                w.faults().holdNextCommit("g/alive/node-0", 4 * SECOND);
                back(w, 0);
                w.run(SECOND);
                crash(w, 0);
                back(w, 0);
                w.run(2_900_000);
                w.faults().rejectStateCalls(0, true);
                w.run(30 * SECOND);
                w.faults().rejectStateCalls(0, false);
              }),
          new Case(
              "a former life's writes are carried out late, over and over",
              21,
              w -> {
                for (int i = 0; i < 8; i++) {
                  w.faults().lateCommitShare(0.6);
                  crash(w, i % 3);
                  w.run(250_000);
                  back(w, i % 3);
                  w.run(900_000);
                  w.faults().lateCommitShare(0);
                  w.run(7 * SECOND);
                }
              }));

  private static void gap(SimulatedCluster w, int refused, double before, long outageS) {
    w.faults().rejectStateCalls(refused, true);
    int other = (refused + 1) % 3;
    w.run(200_000);
    w.cancel(other, "req-cut");
    w.run((long) (before * 1e6));
    w.faults().stateOutage(true);
    w.run(5 * SECOND);
    w.faults().rejectStateCalls(refused, false);
    w.run(outageS * SECOND);
    w.faults().stateOutage(false);
  }

  @TestFactory
  Stream<DynamicTest> noRuleBreaksAndNothingIsForgotten() {
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(c)));
  }

  private static void play(Case c) {
    SimulatedCluster w = new SimulatedCluster(c.nodes(), c.seed());
    w.startPolling();
    w.run(3 * SECOND);
    w.submit(0, TestJobs.job("req-array", "array", 40));
    w.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    w.submit(2, TestJobs.job("req-web", "service", 4));
    w.submit(1, TestJobs.job("req-cut1", "service", 3));
    w.submit(0, TestJobs.job("req-cut", "service", 5));
    w.run(15 * SECOND);
    c.faults().accept(w);
    w.expectRecovery();
    // The largest begin within four minutes; most come to their end long before.
    for (int i = 0; i < 26 && (i < 10 || !ended(w)); i++) {
      w.run(10 * SECOND);
    }
    assertEquals(List.of(), w.violations());
    assertEquals(0, w.state().rejectedForSize());
    for (String id : w.jobs()) {
      String phase = w.phase(id);
      String wanted = id.startsWith("req-web") || id.equals("req-cut1") ? "running" : "done";
      if (!phase.equals("withdrawn") || (!id.equals("req-cut") && !id.equals("req-full"))) {
        assertEquals(id.equals("req-cut") ? "running" : wanted, phase, id);
      }
    }
  }

  private static boolean ended(SimulatedCluster w) {
    return w.jobs().stream()
        .allMatch(
            id ->
                List.of("done", "withdrawn").contains(w.phase(id))
                    || (w.phase(id).equals("running")
                        && (id.startsWith("req-web") || id.startsWith("req-cut"))));
  }

  /** A former life's announcement that is carried out late must not take the liveness key. */
  @Test
  void aLateAnnouncementDoesNotTakeTheLivenessKey() {
    SimulatedCluster w = calmWorld(36);
    w.kill(0);
    w.run(SECOND);
    w.faults().holdNextCommit("g/alive/node-0", 4 * SECOND);
    w.start(0);
    w.run(SECOND);
    w.kill(0);
    w.start(0);
    w.run(2 * SECOND);
    Object ours = w.state().get("g/alive/node-0").get("inc");
    for (int i = 0; i < 300; i++) {
      w.run(10_000);
      assertEquals(ours, w.state().get("g/alive/node-0").get("inc"));
    }
  }

  /** A machine that is out of reach when a kill is decided gets it once it can be reached. */
  @Test
  void killsAreRepeatedUntilTheyAreAnswered() {
    SimulatedCluster w = calmWorld(31);
    int there = w.zones("req-web").values().stream().mapToInt(n -> n).sum();
    assertEquals(4, there);
    for (int i = 0; i < w.machineCount(); i++) {
      w.machineFaults().blockOutbound(i, true);
      w.machineFaults().dropResponses(i, true);
    }
    w.cancel(1, "req-web");
    w.run(2_500_000);
    for (int i = 0; i < w.machineCount(); i++) {
      w.machineFaults().dropResponses(i, false);
    }
    // Long before their leases lapse, and without any report.
    w.run(2_300_000);
    assertEquals(Map.of(), w.zones("req-web"));
    assertEquals(List.of(), w.violations());
  }

  /** Delegates renew leases in turn: each cancelled task gets its kill from them as well. */
  @Test
  void delegatesStopWhatIsCancelled() {
    SimulatedCluster w = calmWorld(35);
    w.submit(0, TestJobs.job("req-cut", "service", 8));
    w.run(6 * SECOND);
    w.kill(0);
    w.run(SECOND);
    w.cancel(1, "req-cut");
    // Its lease holds for twice as long: nobody has taken its shard yet, and its workers live on.
    w.run(6 * SECOND);
    assertEquals(Map.of(), w.zones("req-cut"));
    assertEquals(4, w.zones("req-web").values().stream().mapToInt(n -> n).sum());
  }

  /** An owner that lost the state service sends no start whose job may be cancelled by now. */
  @Test
  void committedStartsAreNotSentByAnOldCopy() {
    SimulatedCluster w = calmWorld(32);
    w.submit(0, TestJobs.job("req-cut", "service", 6));
    w.run(60_000);
    for (int i = 0; i < w.machineCount(); i++) {
      w.machineFaults().blockOutbound(i, true);
    }
    w.run(900_000);
    for (int i = 0; i < 3; i++) {
      w.faults().disconnectFromPeers(i, true);
    }
    w.faults().rejectStateCalls(0, true);
    w.faults().rejectStateCalls(1, true);
    w.cancel(2, "req-cut");
    w.run(7_300_000);
    for (int i = 0; i < w.machineCount(); i++) {
      w.machineFaults().blockOutbound(i, false);
    }
    w.run(10 * SECOND);
    assertEquals("withdrawn", w.phase("req-cut"));
    assertEquals(List.of(), w.violations());
  }

  /** A claim from a part that is full must not make it larger than the service takes. */
  @Test
  void claimsLeaveFullPartsAlone() {
    SimulatedCluster w = new SimulatedCluster(3, 38, new ClusterScale(30, 120_000, 300, 150, 1400));
    w.taskDuration(9 * SECOND);
    w.run(3 * SECOND);
    for (int i = 0; i < 60; i++) {
      w.submit(i % 3, TestJobs.job("req-some" + i, "array", 7));
      w.run(i % 10 == 0 ? 2 * SECOND : 100_000);
    }
    w.kill(0);
    w.run(25 * SECOND);
    w.start(0);
    w.startPolling();
    w.run(SECOND);
    w.expectRecovery();
    w.run(200 * SECOND);
    assertEquals(0, w.state().rejectedForSize());
    assertEquals(List.of(), w.violations());
    for (String id : w.jobs()) {
      assertEquals("done", w.phase(id), id);
    }
  }

  /** Whenever a job is cancelled around its first start, nothing of it is left or written anew. */
  @Test
  void nothingIsLeftOfJobsCancelledAroundTheirFirstStart() {
    SimulatedCluster w = calmWorld(37);
    w.faults().delayStateCalls(150_000);
    for (int i = 0; i < 40; i++) {
      String id = "req-early" + i;
      w.submit(i % 3, TestJobs.job(id, "array", 4));
      while (w.phase(id).isEmpty()) {
        w.run(10_000);
      }
      w.run(i * 40_000L);
      w.cancel((i + 1) % 3, id);
      w.run(300_000);
    }
    w.faults().delayStateCalls(0);
    w.run(30 * SECOND);
    int before = w.state().commits();
    w.run(10 * SECOND);
    assertTrue(
        w.state().commits() - before < 10, (w.state().commits() - before) + " commits in 10 s");
    for (String key : w.state().keys("g/sl/")) {
      for (String id : w.state().get(key).keySet()) {
        assertEquals("req-web", id, key);
      }
    }
    assertEquals(List.of(), w.violations());
  }

  /** Much begins at once after an outage: transactions stay within what the service takes. */
  @Test
  void transactionsStayWithinTheirSizeAfterAnOutage() {
    SimulatedCluster w = new SimulatedCluster(3, 33, new ClusterScale(90, 360_000, 300, 150));
    w.taskDuration(300 * SECOND);
    w.run(3 * SECOND);
    for (int i = 0; i < 300; i++) {
      w.submit(i % 3, TestJobs.job("req-one" + i, "array", 1));
    }
    w.run(25 * SECOND);
    w.faults().stateOutage(true);
    w.run(40 * SECOND);
    w.faults().stateOutage(false);
    w.faults().delayStateCalls(800_000);
    w.run(40 * SECOND);
    assertEquals(0, w.state().rejectedForSize());
    assertTrue(w.tasksOnMachines() > 250, "only " + w.tasksOnMachines());
    assertEquals(List.of(), w.violations());
  }

  /** A request that meets a change which our copy does not get to see is refused, not kept. */
  @Test
  void aRequestDoesNotWaitForAWatchThatHangs() {
    SimulatedCluster w = calmWorld(34);
    w.faults().stallWatch(2, true);
    w.run(300_000);
    w.submit(0, TestJobs.job("req-new", "array", 2));
    w.run(SECOND);
    int[] status = {0};
    w.request(2, "POST", "/work", TestJobs.job("req-new", "array", 2), a -> status[0] = a.status());
    w.run(4 * SECOND);
    assertEquals(503, status[0]);
    w.faults().stallWatch(2, false);
    w.run(15 * SECOND);
    w.request(2, "POST", "/work", TestJobs.job("req-new", "array", 2), a -> status[0] = a.status());
    w.run(2 * SECOND);
    assertEquals(200, status[0]);
  }

  private static SimulatedCluster calmWorld(long seed) {
    SimulatedCluster w = new SimulatedCluster(3, seed);
    w.run(3 * SECOND);
    w.submit(1, TestJobs.job("req-web", "service", 4));
    w.run(12 * SECOND);
    return w;
  }

  /** A cancellation, a question or a repeat meets the end of a job's last task, in every order. */
  @Test
  void whatMeetsTheEndOfAJobHasOneOutcomeEverywhere() {
    for (int shift = 0; shift < 16; shift++) {
      SimulatedCluster w = new SimulatedCluster(3, 40 + shift);
      w.startPolling();
      w.run(3 * SECOND);
      w.submit(0, TestJobs.job("req-end", "array", 2));
      while (w.doneTasks("req-end") < 1) {
        w.run(10_000);
      }
      w.faults().loseCommitResponses(shift % 4 == 3 ? 1 : 0);
      w.faults().delayLostCommits(shift % 8 == 7 ? 4 * SECOND : 0);
      w.run(shift * 60_000L);
      w.cancel(shift % 3, "req-end");
      w.request(
          (shift + 1) % 3,
          "POST",
          "/work",
          TestJobs.job("req-end", "array", 2),
          a -> {
            assertTrue(a.status() == 200 || a.status() == 503, "a repeat gets " + a.status());
          });
      w.poll((shift + 2) % 3, "req-end");
      w.run(20 * SECOND);
      for (int i = 0; i < 3; i++) {
        w.poll(i, "req-end");
      }
      w.run(SECOND);
      assertEquals(List.of(), w.violations());
      assertTrue(List.of("done", "withdrawn").contains(w.phase("req-end")));
    }
  }

  @Test
  void whatCanNeverRunOrLacksAFieldIsNotAccepted() {
    SimulatedCluster w = new SimulatedCluster(3, 60);
    w.run(4 * SECOND);
    for (String field : TestJobs.job("req-lack", "array", 1).keySet()) {
      if (!List.of("hosttypes", "glade", "dueS").contains(field)) {
        Map<String, Object> lacking = TestJobs.job("req-lack", "array", 1);
        lacking.remove(field);
        w.submitInvalid(0, lacking, 400);
      }
    }
    Map<String, Object> large = TestJobs.job("req-large", "array", 1);
    large.put("memoryGb", 17.0);
    w.submitInvalid(1, large, 422);
    Map<String, Object> nowhere = TestJobs.job("req-nowhere", "service", 1);
    nowhere.put("glade", "c");
    w.submitInvalid(1, nowhere, 422);
    Map<String, Object> unknown = TestJobs.job("req-type", "ensemble", 1);
    unknown.put("hosttypes", List.of("huge"));
    w.submitInvalid(2, unknown, 422);
    Map<String, Object> nobody = TestJobs.job("req-nobody", "array", 1);
    nobody.put("owner", "nobody");
    w.submitInvalid(2, nobody, 422);
    w.submitInvalid(0, TestJobs.job("req-limit", "ensemble", 25), 422);
    w.run(2 * SECOND);
    assertEquals(List.of(), w.violations());
  }
}
