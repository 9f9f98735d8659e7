package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
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

/** A simulated cluster of three controllers under faults: invariants hold and jobs complete. */
class SimulatedClusterTest {
  private record Case(String name, long seed, Consumer<SimulatedCluster> faults) {}

  private static final List<Case> CASES =
      List.of(
          new Case("nothing happens", 1, cluster -> cluster.run(20 * MICROS_PER_SECOND)),
          new Case(
              "a controller ends and comes back soon",
              2,
              cluster -> {
                cluster.kill(0);
                cluster.run(3 * MICROS_PER_SECOND);
                cluster.start(0);
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "a controller ends and stays away: its shard is taken over",
              3,
              cluster -> {
                cluster.kill(1);
                cluster.run(40 * MICROS_PER_SECOND);
              }),
          new Case(
              "a controller comes back after its shard was taken over",
              4,
              cluster -> {
                cluster.kill(1);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.start(1);
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "all controllers end at once and return within a fraction of a second",
              5,
              cluster -> {
                for (int i = 0; i < 3; i++) {
                  cluster.kill(i);
                }
                cluster.run(300_000);
                for (int i = 0; i < 3; i++) {
                  cluster.start(i);
                }
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "all controllers restart at once, and busy machines send heartbeats only long after",
              24,
              cluster -> {
                Set<String> before = cluster.hosts("req-web");
                cluster.submit(0, TestJobs.job("req-more", "array", 6));
                cluster.run(2 * MICROS_PER_SECOND);
                int rentals = cluster.cloud().rentals();
                for (int i = 0; i < 3; i++) {
                  cluster.kill(i);
                  cluster.start(i);
                  cluster.faults().disconnectFromWorkers(i, true);
                }
                cluster.run(11_500_000);
                for (int i = 0; i < 3; i++) {
                  cluster.faults().disconnectFromWorkers(i, false);
                }
                cluster.run(400_000);
                // The machines must not count as never started, so no replacements are rented.
                assertEquals(rentals, cluster.cloud().rentals());
                assertTrue(
                    cluster.rented().containsAll(before),
                    () -> "some of " + before + " were released, rented are " + cluster.rented());
              }),
          new Case(
              "controllers are restarted one after the other",
              6,
              cluster -> {
                for (int i = 0; i < 3; i++) {
                  cluster.kill(i);
                  cluster.run(2 * MICROS_PER_SECOND);
                  cluster.start(i);
                  cluster.run(5 * MICROS_PER_SECOND);
                }
              }),
          new Case(
              "an owner is suspended past its lease and resumes",
              7,
              cluster -> {
                cluster.pause(2, true);
                cluster.run(25 * MICROS_PER_SECOND);
                cluster.pause(2, false);
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "a controller loses the state service alone",
              8,
              cluster -> {
                cluster.faults().disconnectFromState(0, true);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().disconnectFromState(0, false);
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "a controller loses the workers alone",
              9,
              cluster -> {
                cluster.faults().disconnectFromWorkers(0, true);
                cluster.run(40 * MICROS_PER_SECOND);
                cluster.faults().disconnectFromWorkers(0, false);
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "the state service is away for longer than the leases",
              10,
              cluster -> {
                cluster.faults().stateOutage(true);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(false);
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "commits get no answer but are applied",
              11,
              cluster -> {
                cluster.faults().loseCommitAnswers(3);
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "commits get no answer and are applied late",
              12,
              cluster -> {
                cluster.faults().delayLostCommits(6 * MICROS_PER_SECOND);
                cluster.faults().loseCommitAnswers(4);
                cluster.run(30 * MICROS_PER_SECOND);
              }),
          new Case(
              "machines fail with all their tasks",
              13,
              cluster -> {
                cluster.machineFaults().kill(0);
                cluster.machineFaults().kill(2);
                cluster.run(30 * MICROS_PER_SECOND);
              }),
          new Case(
              "a controller ends during an outage of the state service",
              14,
              cluster -> {
                cluster.faults().stateOutage(true);
                cluster.run(5 * MICROS_PER_SECOND);
                cluster.kill(0);
                cluster.run(2 * MICROS_PER_SECOND);
                cluster.start(0);
                cluster.run(5 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(false);
                cluster.run(25 * MICROS_PER_SECOND);
              }),
          new Case(
              "a machine's heartbeats arrive, but responses and commands don't reach it",
              15,
              cluster -> {
                cluster.machineFaults().dropResponses(0, true);
                cluster.machineFaults().dropResponses(3, true);
                cluster.run(60 * MICROS_PER_SECOND);
              }),
          new Case(
              "machines receive no traffic: all are replaced",
              23,
              cluster -> {
                // With one running controller, each machine contacts it again before a lease
                // expires.
                cluster.kill(1);
                cluster.kill(2);
                cluster.run(20 * MICROS_PER_SECOND);
                cluster.submit(0, TestJobs.job("req-late", "array", 8));
                cluster.run(2 * MICROS_PER_SECOND);
                cluster.machineFaults().dropResponsesOfAll();
                cluster.run(110 * MICROS_PER_SECOND);
                cluster.poll(0, "req-late");
                cluster.run(MICROS_PER_SECOND);
                assertEquals("done", cluster.phase("req-late"));
                cluster.start(1);
                cluster.start(2);
              }),
          new Case(
              "machines receive no traffic for a while, and their controllers restart meanwhile",
              16,
              cluster -> {
                cluster.machineFaults().dropResponses(1, true);
                cluster.machineFaults().dropResponses(2, true);
                cluster.run(3 * MICROS_PER_SECOND);
                cluster.kill(0);
                cluster.kill(1);
                cluster.run(300_000);
                cluster.start(0);
                cluster.start(1);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.machineFaults().dropResponses(1, false);
                cluster.machineFaults().dropResponses(2, false);
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "duplicate heartbeats arrive late, also from released machines",
              17,
              cluster -> {
                cluster.faults().duplicateHeartbeats(true);
                cluster.run(150 * MICROS_PER_SECOND);
              }),
          new Case(
              "duplicate heartbeats arrive late, across ownership transfers and machine failures",
              18,
              cluster -> {
                cluster.faults().duplicateHeartbeats(true);
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.kill(0);
                cluster.machineFaults().kill(1);
                cluster.run(12 * MICROS_PER_SECOND);
                cluster.start(0);
                cluster.run(4 * MICROS_PER_SECOND);
                cluster.kill(2);
                cluster.run(200_000);
                cluster.start(2);
                cluster.run(30 * MICROS_PER_SECOND);
              }),
          new Case(
              "a controller loses the state service and its peers, but not the workers",
              19,
              cluster -> {
                cluster.faults().disconnectFromState(1, true);
                cluster.faults().disconnectFromPeers(1, true);
                cluster.run(35 * MICROS_PER_SECOND);
                cluster.faults().disconnectFromState(1, false);
                cluster.faults().disconnectFromPeers(1, false);
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "machines restart at once without their tasks",
              20,
              cluster -> {
                for (int i = 0; i < cluster.machineCount(); i++) {
                  cluster.machineFaults().reboot(i);
                }
                // This is shorter than the heartbeat timeout plus the time to replace machines.
                cluster.run(7 * MICROS_PER_SECOND);
                assertEquals(4, FaultScenarios.runningTasks(cluster, "req-web"));
              }),
          new Case(
              "a controller returns during the failover of its shard, repeatedly",
              21,
              cluster -> {
                cluster.faults().delayLostCommits(2 * MICROS_PER_SECOND);
                for (int i = 0; i < 6; i++) {
                  cluster.kill(1);
                  cluster.run(i % 2 == 0 ? 9_400_000 : 150_000);
                  cluster.start(1);
                  cluster.faults().loseCommitAnswers(1);
                  cluster.run(700_000);
                }
                cluster.run(20 * MICROS_PER_SECOND);
              }),
          new Case(
              "several faults at once",
              22,
              cluster -> {
                cluster.faults().duplicateHeartbeats(true);
                cluster.machineFaults().dropResponses(0, true);
                cluster.faults().disconnectFromState(0, true);
                cluster.faults().disconnectFromPeers(0, true);
                cluster.run(6 * MICROS_PER_SECOND);
                cluster.machineFaults().reboot(1);
                cluster.kill(2);
                cluster.run(200_000);
                cluster.start(2);
                cluster.faults().loseCommitAnswers(2);
                cluster.faults().delayLostCommits(4 * MICROS_PER_SECOND);
                cluster.run(25 * MICROS_PER_SECOND);
                cluster.faults().disconnectFromState(0, false);
                cluster.faults().disconnectFromPeers(0, false);
                cluster.machineFaults().dropResponses(0, false);
                cluster.run(20 * MICROS_PER_SECOND);
              }));

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndJobsComplete() {
    return CASES.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> runCase(testCase)));
  }

  private static void runCase(Case testCase) {
    SimulatedCluster cluster = new SimulatedCluster(3, testCase.seed());
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-array", "array", 40));
    cluster.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    cluster.submit(2, TestJobs.job("req-web", "service", 4));
    cluster.submit(1, TestJobs.job("req-gone", "service", 2));
    cluster.run(12 * MICROS_PER_SECOND);
    cluster.cancel(2, "req-gone");
    testCase.faults().accept(cluster);
    for (int i = 0; i < 60; i++) {
      cluster.poll(i % 3, "req-array");
      cluster.poll(i % 3, "req-gang");
      cluster.poll(i % 3, "req-web");
      cluster.poll(i % 3, "req-gone");
      cluster.poll(i % 3, "req-nobody");
      cluster.run(MICROS_PER_SECOND);
    }
    assertEquals(List.of(), cluster.violations());
    assertEquals("done", cluster.phase("req-array"));
    assertEquals("done", cluster.phase("req-gang"));
    assertEquals("withdrawn", cluster.phase("req-gone"));
    assertEquals("running", cluster.phase("req-web"));
    assertEquals(Map.of("a", 2, "b", 2), cluster.zones("req-web"));
  }

  @Test
  void repeatedSubmissionOfDoneJobReturnsSameJob() {
    SimulatedCluster cluster = new SimulatedCluster(3, 20);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-once", "array", 3));
    cluster.run(30 * MICROS_PER_SECOND);
    cluster.poll(1, "req-once");
    cluster.run(MICROS_PER_SECOND);
    assertEquals("done", cluster.phase("req-once"));
    int[] status = {0};
    cluster.request(
        2,
        "POST",
        "/work",
        TestJobs.job("req-once", "array", 3),
        answer -> status[0] = answer.status());
    cluster.run(MICROS_PER_SECOND);
    assertEquals(200, status[0]);
    assertEquals(List.of(), cluster.violations());
  }

  @Test
  void hundredThousandTasksAreAcceptedAndStartedInOrder() {
    SimulatedCluster cluster = new SimulatedCluster(3, 21);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-many", "array", 100_000));
    cluster.run(30 * MICROS_PER_SECOND);
    cluster.poll(1, "req-many");
    cluster.run(MICROS_PER_SECOND);
    assertEquals("running", cluster.phase("req-many"));
    assertEquals(List.of(), cluster.violations());
    for (String key : cluster.state().keys("g/sl/")) {
      int size = Json.bytes(cluster.state().get(key)).length;
      assertTrue(size < 8192, key + " has bytes: " + size);
    }
  }

  @Test
  void rentalNamesAreNotReusedAfterRestarts() {
    SimulatedCluster cluster = new SimulatedCluster(3, 22);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-one", "array", 8));
    cluster.run(5 * MICROS_PER_SECOND);
    int before = cluster.cloud().rentals();
    for (int i = 0; i < 3; i++) {
      cluster.kill(i);
      cluster.start(i);
    }
    cluster.submit(1, TestJobs.job("req-two", "service", 4));
    cluster.run(30 * MICROS_PER_SECOND);
    // A reused name would return the existing machines and would not count as a new rental.
    assertTrue(before > 0 && cluster.cloud().rentals() > before);
    assertEquals(List.of(), cluster.violations());
  }
}
