package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static gladeknot.standin.TestJobs.job;
import static gladeknot.standin.TestJobs.jobAfter;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.SimulatedCluster;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Jobs with dependencies. Each case submits a diamond (the first job, two in the middle, the last)
 * and injects cancellations or faults. The checker verifies the invariants, and in the end each job
 * must have the given phase.
 */
class JobDependenciesTest {
  private record Case(String name, Consumer<SimulatedCluster> faults, String phases) {}

  private static final List<String> DIAMOND = List.of("req-a", "req-b", "req-c", "req-d");
  private static final String ALL_DONE = "done done done done";
  private static final String ALL_WITHDRAWN = "withdrawn withdrawn withdrawn withdrawn";

  private static final List<Case> CASES =
      List.of(
          new Case("nothing happens", cluster -> {}, ALL_DONE),
          new Case(
              "the first is cancelled while it runs",
              cluster -> cluster.cancel(1, "req-a"),
              ALL_WITHDRAWN),
          new Case(
              "one in the middle is cancelled while it waits",
              cluster -> cluster.cancel(1, "req-b"),
              "done withdrawn done withdrawn"),
          new Case(
              "the last is cancelled while its dependencies continue",
              cluster -> cluster.cancel(2, "req-d"),
              "done done done withdrawn"),
          new Case(
              "one in the middle is cancelled while it runs",
              cluster -> {
                cluster.run(9 * MICROS_PER_SECOND);
                cluster.cancel(0, "req-c");
              },
              "done done withdrawn withdrawn"),
          new Case(
              "the first is cancelled after it is done",
              cluster -> {
                cluster.run(40 * MICROS_PER_SECOND);
                cluster.cancel(0, "req-a");
              },
              ALL_DONE),
          new Case(
              "cancelled through a controller that then loses the state service",
              cluster -> {
                cluster.cancel(1, "req-a");
                cluster.run(MICROS_PER_SECOND / 2);
                cluster.faults().disconnectFromState(1, true);
                cluster.faults().disconnectFromPeers(1, true);
                cluster.run(50 * MICROS_PER_SECOND);
                cluster.faults().disconnectFromState(1, false);
                cluster.faults().disconnectFromPeers(1, false);
              },
              ALL_WITHDRAWN),
          new Case(
              "cancelled while a shard is taken over",
              cluster -> {
                cluster.kill(0);
                cluster.run(9 * MICROS_PER_SECOND);
                cluster.cancel(1, "req-b");
                cluster.run(15 * MICROS_PER_SECOND);
                cluster.start(0);
              },
              "done withdrawn done withdrawn"),
          new Case(
              "all controllers end midway",
              cluster -> {
                cluster.run(8 * MICROS_PER_SECOND);
                for (int i = 0; i < 3; i++) {
                  cluster.kill(i);
                }
                cluster.run(12 * MICROS_PER_SECOND);
                for (int i = 0; i < 3; i++) {
                  cluster.start(i);
                }
              },
              ALL_DONE),
          new Case(
              "an outage midway",
              cluster -> {
                cluster.run(5 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(true);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(false);
              },
              ALL_DONE),
          new Case(
              "transactions are applied late",
              cluster -> {
                cluster.faults().lateCommitShare(0.3);
                cluster.run(40 * MICROS_PER_SECOND);
                cluster.faults().lateCommitShare(0);
              },
              ALL_DONE));

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndJobsReachPhases() {
    return CASES.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> runCase(testCase)));
  }

  private static SimulatedCluster cluster(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(3, seed);
    cluster.startPolling();
    cluster.run(3 * MICROS_PER_SECOND);
    return cluster;
  }

  private static void runCase(Case testCase) {
    SimulatedCluster cluster = cluster(17);
    cluster.submit(0, job("req-a", "array", 4));
    cluster.run(MICROS_PER_SECOND);
    cluster.submit(1, jobAfter("req-b", 5, "req-a"));
    cluster.submit(2, jobAfter("req-c", 3, "req-a"));
    cluster.run(MICROS_PER_SECOND);
    cluster.submit(0, jobAfter("req-d", 2, "req-b", "req-c", "req-b"));
    cluster.run(3 * MICROS_PER_SECOND);
    testCase.faults().accept(cluster);
    cluster.expectRecovery();
    cluster.run(100 * MICROS_PER_SECOND);
    assertEquals(List.of(), cluster.violations());
    assertEquals(
        testCase.phases(), String.join(" ", DIAMOND.stream().map(cluster::phase).toList()));
    assertEquals(0, cluster.tasksOnMachines());
  }

  @ParameterizedTest
  @CsvSource({
    "'req-1', 201, queued",
    "'req-1,req-1', 201, queued",
    "'', 201, queued",
    "'req-1,req-none', 422, req-none",
    "'req-new', 422, itself",
    "'req-web', 422, service",
    "'job-1', 400, waitsOn",
  })
  void dependenciesAreValidated(String dependencies, int status, String text) {
    SimulatedCluster cluster = cluster(18);
    cluster.submit(0, job("req-1", "array", 3));
    cluster.submit(0, job("req-web", "service", 2));
    cluster.run(2 * MICROS_PER_SECOND);
    String[] dependencyIds = dependencies.isEmpty() ? new String[0] : dependencies.split(",");
    String reply = cluster.answerOf(1, "POST", "/work", jobAfter("req-new", 2, dependencyIds));
    assertTrue(reply.startsWith(status + " ") && reply.contains(text), reply);
  }

  @Test
  void waitsOnMustBeAListOfIds() {
    SimulatedCluster cluster = cluster(18);
    for (Object value : List.of("req-1", 3, Map.of("req-1", 1), List.of(1), List.of("req-1", 2))) {
      Map<String, Object> job = new HashMap<>(job("req-new", "array", 2));
      job.put("waitsOn", value);
      String reply = cluster.answerOf(1, "POST", "/work", job);
      assertTrue(reply.startsWith("400 ") && reply.contains("waitsOn"), reply);
    }
    Map<String, Object> job = new HashMap<>(job("req-new", "array", 2));
    job.put("waitsOn", null);
    assertTrue(cluster.answerOf(1, "POST", "/work", job).startsWith("201 "));
  }

  @Test
  void dependenciesThatExceedStorageAreRejectedImmediately() {
    SimulatedCluster cluster = cluster(19);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 700; i++) {
      names.add("req-" + (100_000 + i));
    }
    Map<String, Object> job = jobAfter("req-new", 1, names.toArray(String[]::new));
    String reply = cluster.answerOf(0, "POST", "/work", job);
    assertTrue(reply.startsWith("400 ") && reply.contains("waitsOn"), reply);
  }

  @Test
  void dependencyIsNotReportedUnknownDuringStateOutage() {
    SimulatedCluster cluster = cluster(20);
    cluster.faults().stateOutage(true);
    cluster.run(MICROS_PER_SECOND);
    String reply = cluster.answerOf(0, "POST", "/work", jobAfter("req-new", 1, "req-1"));
    assertTrue(reply.startsWith("503 "), reply);
  }

  @Test
  void jobWithWithdrawnDependencyIsAcceptedAndWithdrawn() {
    SimulatedCluster cluster = cluster(21);
    cluster.submit(0, job("req-1", "array", 3));
    cluster.run(MICROS_PER_SECOND);
    cluster.cancel(0, "req-1");
    cluster.run(MICROS_PER_SECOND);
    String reply = cluster.answerOf(1, "POST", "/work", jobAfter("req-2", 2, "req-1"));
    assertTrue(reply.startsWith("201 ") && reply.contains("withdrawn"), reply);
    for (int node = 0; node < 3; node++) {
      assertTrue(cluster.answerOf(node, "GET", "/work/req-2", null).contains("withdrawn"));
      assertTrue(cluster.answerOf(node, "POST", "/work/req-2/abort", null).contains("withdrawn"));
      String repeat = cluster.answerOf(node, "POST", "/work", jobAfter("req-2", 2, "req-none"));
      assertTrue(repeat.startsWith("200 ") && repeat.contains("withdrawn"), repeat);
    }
    assertEquals("withdrawn", cluster.state().get("g/job/req-2").get("p"));
  }

  @Test
  void cancellingFirstJobWithdrawsLongChain() {
    SimulatedCluster cluster = cluster(22);
    int length = 300;
    // The tasks of this job run without end.
    cluster.submit(0, job("req-gone-0", "array", 2));
    cluster.run(MICROS_PER_SECOND);
    for (int i = 1; i < length; i++) {
      cluster.submit(i % 3, jobAfter("req-gone-" + i, 1, "req-gone-" + (i - 1)));
      cluster.run(MICROS_PER_SECOND / 5);
    }
    cluster.run(4 * MICROS_PER_SECOND);
    assertEquals(length, cluster.state().keys("g/job/").size());
    cluster.cancel(0, "req-gone-0");
    cluster.run(MICROS_PER_SECOND);
    String reply = cluster.answerOf(1, "GET", "/work/req-gone-" + (length - 1), null);
    assertTrue(reply.contains("withdrawn"), reply);
    cluster.run(60 * MICROS_PER_SECOND);
    for (int i = 0; i < length; i++) {
      assertEquals("withdrawn", cluster.state().get("g/job/req-gone-" + i).get("p"));
    }
    assertEquals(List.of(), cluster.violations());
  }
}
