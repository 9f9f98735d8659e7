package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Three controllers with all around them, under faults: the rules hold and the work gets done. */
class SimulatedClusterTest {
  private record Case(String name, long seed, Consumer<SimulatedCluster> faults) {}

  private static final List<Case> CASES =
      List.of(
          new Case("nothing happens", 1, w -> w.run(20 * SECOND)),
          new Case(
              "a controller ends and comes back soon",
              2,
              w -> {
                w.kill(0);
                w.run(3 * SECOND);
                w.start(0);
                w.run(20 * SECOND);
              }),
          new Case(
              "a controller ends and stays away: its shard is taken over",
              3,
              w -> {
                w.kill(1);
                w.run(40 * SECOND);
              }),
          new Case(
              "a controller comes back after its shard was taken over",
              4,
              w -> {
                w.kill(1);
                w.run(30 * SECOND);
                w.start(1);
                w.run(20 * SECOND);
              }),
          new Case(
              "all end at once and are back within a fraction of a second",
              5,
              w -> {
                for (int i = 0; i < 3; i++) {
                  w.kill(i);
                }
                w.run(300_000);
                for (int i = 0; i < 3; i++) {
                  w.start(i);
                }
                w.run(20 * SECOND);
              }),
          new Case(
              "all end at once, and machines at work report only long after the restart",
              24,
              w -> {
                java.util.Set<String> before = w.hosts("req-web");
                w.submit(0, TestJobs.job("req-more", "array", 6));
                w.run(2 * SECOND);
                int rentals = w.cloud().rentals();
                for (int i = 0; i < 3; i++) {
                  w.kill(i);
                  w.start(i);
                  w.faults().disconnectFromWorkers(i, true);
                }
                w.run(11_500_000);
                for (int i = 0; i < 3; i++) {
                  w.faults().disconnectFromWorkers(i, false);
                }
                w.run(400_000);
                // They are not taken for machines that never came up, nor others rented for them.
                assertEquals(rentals, w.cloud().rentals());
                assertTrue(w.rented().containsAll(before), "given back: " + before);
              }),
          new Case(
              "one after the other is restarted",
              6,
              w -> {
                for (int i = 0; i < 3; i++) {
                  w.kill(i);
                  w.run(2 * SECOND);
                  w.start(i);
                  w.run(5 * SECOND);
                }
              }),
          new Case(
              "an owner sleeps past its lease and goes on",
              7,
              w -> {
                w.pause(2, true);
                w.run(25 * SECOND);
                w.pause(2, false);
                w.run(20 * SECOND);
              }),
          new Case(
              "a controller loses the state service alone",
              8,
              w -> {
                w.faults().disconnectFromState(0, true);
                w.run(30 * SECOND);
                w.faults().disconnectFromState(0, false);
                w.run(20 * SECOND);
              }),
          new Case(
              "a controller loses the workers alone",
              9,
              w -> {
                w.faults().disconnectFromWorkers(0, true);
                w.run(40 * SECOND);
                w.faults().disconnectFromWorkers(0, false);
                w.run(20 * SECOND);
              }),
          new Case(
              "the state service is away for longer than the leases",
              10,
              w -> {
                w.faults().stateOutage(true);
                w.run(30 * SECOND);
                w.faults().stateOutage(false);
                w.run(20 * SECOND);
              }),
          new Case(
              "commits get no answer and were carried out",
              11,
              w -> {
                w.faults().loseCommitResponses(3);
                w.run(20 * SECOND);
              }),
          new Case(
              "commits get no answer and are carried out late",
              12,
              w -> {
                w.faults().delayLostCommits(6 * SECOND);
                w.faults().loseCommitResponses(4);
                w.run(30 * SECOND);
              }),
          new Case(
              "machines end with all that is on them",
              13,
              w -> {
                w.machineFaults().kill(0);
                w.machineFaults().kill(2);
                w.run(30 * SECOND);
              }),
          new Case(
              "a controller ends during an outage of the state service",
              14,
              w -> {
                w.faults().stateOutage(true);
                w.run(5 * SECOND);
                w.kill(0);
                w.run(2 * SECOND);
                w.start(0);
                w.run(5 * SECOND);
                w.faults().stateOutage(false);
                w.run(25 * SECOND);
              }),
          new Case(
              "a machine's reports arrive, answers and commands don't reach it",
              15,
              w -> {
                w.machineFaults().dropResponses(0, true);
                w.machineFaults().dropResponses(3, true);
                w.run(60 * SECOND);
              }),
          new Case(
              "no machine hears anything any more: all are replaced",
              23,
              w -> {
                // With one controller left each machine comes back to it before a lease is over.
                w.kill(1);
                w.kill(2);
                w.run(20 * SECOND);
                w.submit(0, TestJobs.job("req-late", "array", 8));
                w.run(2 * SECOND);
                w.machineFaults().dropResponsesOfAll();
                w.run(110 * SECOND);
                w.poll(0, "req-late");
                w.run(SECOND);
                assertEquals("done", w.phase("req-late"));
                w.start(1);
                w.start(2);
              }),
          new Case(
              "a machine hears nothing for a while, and its controller is restarted meanwhile",
              16,
              w -> {
                w.machineFaults().dropResponses(1, true);
                w.machineFaults().dropResponses(2, true);
                w.run(3 * SECOND);
                w.kill(0);
                w.kill(1);
                w.run(300_000);
                w.start(0);
                w.start(1);
                w.run(30 * SECOND);
                w.machineFaults().dropResponses(1, false);
                w.machineFaults().dropResponses(2, false);
                w.run(20 * SECOND);
              }),
          new Case(
              "copies of reports come late, also of machines that were given back",
              17,
              w -> {
                w.faults().duplicateHeartbeats(true);
                w.run(150 * SECOND);
              }),
          new Case(
              "copies of reports come late, over changes of hands and ends of machines",
              18,
              w -> {
                w.faults().duplicateHeartbeats(true);
                w.run(10 * SECOND);
                w.kill(0);
                w.machineFaults().kill(1);
                w.run(12 * SECOND);
                w.start(0);
                w.run(4 * SECOND);
                w.kill(2);
                w.run(200_000);
                w.start(2);
                w.run(30 * SECOND);
              }),
          new Case(
              "a controller loses the state service and the others, not the workers",
              19,
              w -> {
                w.faults().disconnectFromState(1, true);
                w.faults().disconnectFromPeers(1, true);
                w.run(35 * SECOND);
                w.faults().disconnectFromState(1, false);
                w.faults().disconnectFromPeers(1, false);
                w.run(20 * SECOND);
              }),
          new Case(
              "machines are back at once, without what was on them",
              20,
              w -> {
                for (int i = 0; i < w.machineCount(); i++) {
                  w.machineFaults().reboot(i);
                }
                // Less than it takes to find machines silent and to replace them.
                w.run(7 * SECOND);
                assertEquals(4, w.zones("req-web").values().stream().mapToInt(n -> n).sum());
              }),
          new Case(
              "a controller is back in the middle of its shard's takeover, again and again",
              21,
              w -> {
                w.faults().delayLostCommits(2 * SECOND);
                for (int i = 0; i < 6; i++) {
                  w.kill(1);
                  w.run(i % 2 == 0 ? 9_400_000 : 150_000);
                  w.start(1);
                  w.faults().loseCommitResponses(1);
                  w.run(700_000);
                }
                w.run(20 * SECOND);
              }),
          new Case(
              "all this at once",
              22,
              w -> {
                w.faults().duplicateHeartbeats(true);
                w.machineFaults().dropResponses(0, true);
                w.faults().disconnectFromState(0, true);
                w.faults().disconnectFromPeers(0, true);
                w.run(6 * SECOND);
                w.machineFaults().reboot(1);
                w.kill(2);
                w.run(200_000);
                w.start(2);
                w.faults().loseCommitResponses(2);
                w.faults().delayLostCommits(4 * SECOND);
                w.run(25 * SECOND);
                w.faults().disconnectFromState(0, false);
                w.faults().disconnectFromPeers(0, false);
                w.machineFaults().dropResponses(0, false);
                w.run(20 * SECOND);
              }));

  @TestFactory
  Stream<DynamicTest> rulesHoldAndWorkGetsDone() {
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(c)));
  }

  private static void play(Case c) {
    SimulatedCluster w = new SimulatedCluster(3, c.seed());
    w.run(3 * SECOND);
    w.submit(0, TestJobs.job("req-array", "array", 40));
    w.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    w.submit(2, TestJobs.job("req-web", "service", 4));
    w.submit(1, TestJobs.job("req-gone", "service", 2));
    w.run(12 * SECOND);
    w.cancel(2, "req-gone");
    c.faults().accept(w);
    for (int i = 0; i < 60; i++) {
      w.poll(i % 3, "req-array");
      w.poll(i % 3, "req-gang");
      w.poll(i % 3, "req-web");
      w.poll(i % 3, "req-gone");
      w.poll(i % 3, "req-nobody");
      w.run(SECOND);
    }
    assertEquals(List.of(), w.violations());
    assertEquals("done", w.phase("req-array"));
    assertEquals("done", w.phase("req-gang"));
    assertEquals("withdrawn", w.phase("req-gone"));
    assertEquals("running", w.phase("req-web"));
    assertEquals(java.util.Map.of("a", 2, "b", 2), w.zones("req-web"));
  }

  @Test
  void aRepeatedSubmissionIsTheSameJobForGood() {
    SimulatedCluster w = new SimulatedCluster(3, 20);
    w.run(3 * SECOND);
    w.submit(0, TestJobs.job("req-once", "array", 3));
    w.run(30 * SECOND);
    w.poll(1, "req-once");
    w.run(SECOND);
    assertEquals("done", w.phase("req-once"));
    int[] status = {0};
    w.request(
        2, "POST", "/work", TestJobs.job("req-once", "array", 3), a -> status[0] = a.status());
    w.run(SECOND);
    assertEquals(200, status[0]);
    assertEquals(List.of(), w.violations());
  }

  @Test
  void aHundredThousandTasksAreTakenInAndStartedInOrder() {
    SimulatedCluster w = new SimulatedCluster(3, 21);
    w.run(3 * SECOND);
    w.submit(0, TestJobs.job("req-many", "array", 100_000));
    w.run(30 * SECOND);
    w.poll(1, "req-many");
    w.run(SECOND);
    assertEquals("running", w.phase("req-many"));
    assertEquals(List.of(), w.violations());
    for (String key : w.state().keys("g/sl/")) {
      int size = gladeknot.json.Json.bytes(w.state().get(key)).length;
      assertTrue(size < 8192, key + " has " + size);
    }
  }

  @Test
  void rentalNamesAreNotUsedAgainAfterRestarts() {
    SimulatedCluster w = new SimulatedCluster(3, 22);
    w.run(3 * SECOND);
    w.submit(0, TestJobs.job("req-one", "array", 8));
    w.run(5 * SECOND);
    int before = w.cloud().rentals();
    for (int i = 0; i < 3; i++) {
      w.kill(i);
      w.start(i);
    }
    w.submit(1, TestJobs.job("req-two", "service", 4));
    w.run(30 * SECOND);
    // A name used again would have brought the old machines and counted once.
    assertTrue(before > 0 && w.cloud().rentals() > before);
    assertEquals(List.of(), w.violations());
  }
}
