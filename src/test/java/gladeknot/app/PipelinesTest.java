package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static gladeknot.standin.TestJobs.job;
import static gladeknot.standin.TestJobs.jobAfter;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.SimulatedCluster;
import java.nio.charset.StandardCharsets;
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
 * Jobs that wait for others. Each row submits a diamond (first, two in the middle, last) and does
 * something to it; the checker watches the rules, and in the end each job has the phase that is
 * given.
 */
class PipelinesTest {
  private record Case(String name, Consumer<SimulatedCluster> faults, String phases) {}

  private static final List<String> DIAMOND = List.of("req-a", "req-b", "req-c", "req-d");
  private static final String ALL_DONE = "done done done done";
  private static final String ALL_WITHDRAWN = "withdrawn withdrawn withdrawn withdrawn";

  private static final List<Case> CASES =
      List.of(
          new Case("nothing happens", w -> {}, ALL_DONE),
          new Case(
              "the first is cancelled while it runs", w -> w.cancel(1, "req-a"), ALL_WITHDRAWN),
          new Case(
              "one in the middle is cancelled while it waits",
              w -> w.cancel(1, "req-b"),
              "done withdrawn done withdrawn"),
          new Case(
              "the last is cancelled: those before it go on",
              w -> w.cancel(2, "req-d"),
              "done done done withdrawn"),
          new Case(
              "one in the middle is cancelled while it runs",
              w -> {
                w.run(9 * SECOND);
                w.cancel(0, "req-c");
              },
              "done done withdrawn withdrawn"),
          new Case(
              "the first is cancelled when it is over",
              w -> {
                w.run(40 * SECOND);
                w.cancel(0, "req-a");
              },
              ALL_DONE),
          new Case(
              "cancelled through a controller that then loses the state service",
              w -> {
                w.cancel(1, "req-a");
                w.run(SECOND / 2);
                w.faults().disconnectFromState(1, true);
                w.faults().disconnectFromPeers(1, true);
                w.run(50 * SECOND);
                w.faults().disconnectFromState(1, false);
                w.faults().disconnectFromPeers(1, false);
              },
              ALL_WITHDRAWN),
          new Case(
              "cancelled while a shard is taken over",
              w -> {
                w.kill(0);
                w.run(9 * SECOND);
                w.cancel(1, "req-b");
                w.run(15 * SECOND);
                w.start(0);
              },
              "done withdrawn done withdrawn"),
          new Case(
              "all controllers end midway",
              w -> {
                w.run(8 * SECOND);
                for (int i = 0; i < 3; i++) {
                  w.kill(i);
                }
                w.run(12 * SECOND);
                for (int i = 0; i < 3; i++) {
                  w.start(i);
                }
              },
              ALL_DONE),
          new Case(
              "an outage midway",
              w -> {
                w.run(5 * SECOND);
                w.faults().stateOutage(true);
                w.run(30 * SECOND);
                w.faults().stateOutage(false);
              },
              ALL_DONE),
          new Case(
              "transactions are carried out late",
              w -> {
                w.faults().lateCommitShare(0.3);
                w.run(40 * SECOND);
                w.faults().lateCommitShare(0);
              },
              ALL_DONE));

  @TestFactory
  Stream<DynamicTest> rulesHold() {
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(c)));
  }

  private static SimulatedCluster cluster(long seed) {
    SimulatedCluster w = new SimulatedCluster(3, seed);
    w.startPolling();
    w.run(3 * SECOND);
    return w;
  }

  private static void play(Case c) {
    SimulatedCluster w = cluster(17);
    w.submit(0, job("req-a", "array", 4));
    w.run(SECOND);
    w.submit(1, jobAfter("req-b", 5, "req-a"));
    w.submit(2, jobAfter("req-c", 3, "req-a"));
    w.run(SECOND);
    w.submit(0, jobAfter("req-d", 2, "req-b", "req-c", "req-b"));
    w.run(3 * SECOND);
    c.faults().accept(w);
    w.expectRecovery();
    w.run(100 * SECOND);
    assertEquals(List.of(), w.violations());
    assertEquals(c.phases(), String.join(" ", DIAMOND.stream().map(w::phase).toList()));
    assertEquals(0, w.tasksOnMachines());
  }

  private static String answer(
      SimulatedCluster w, int node, String method, String path, Object body) {
    String[] got = {"none"};
    w.request(
        node,
        method,
        path,
        body,
        a -> got[0] = a.status() + " " + new String(a.body(), StandardCharsets.UTF_8));
    w.run(2 * SECOND);
    return got[0];
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
  void whatAJobMayWaitFor(String needs, int status, String text) {
    SimulatedCluster w = cluster(18);
    w.submit(0, job("req-1", "array", 3));
    w.submit(0, job("req-web", "service", 2));
    w.run(2 * SECOND);
    String[] named = needs.isEmpty() ? new String[0] : needs.split(",");
    String got = answer(w, 1, "POST", "/work", jobAfter("req-new", 2, named));
    assertTrue(got.startsWith(status + " ") && got.contains(text), got);
  }

  @Test
  void waitsOnMustBeAListOfIds() {
    SimulatedCluster w = cluster(18);
    for (Object value : List.of("req-1", 3, Map.of("req-1", 1), List.of(1), List.of("req-1", 2))) {
      Map<String, Object> job = new HashMap<>(job("req-new", "array", 2));
      job.put("waitsOn", value);
      String got = answer(w, 1, "POST", "/work", job);
      assertTrue(got.startsWith("400 ") && got.contains("waitsOn"), got);
    }
    Map<String, Object> job = new HashMap<>(job("req-new", "array", 2));
    job.put("waitsOn", null);
    assertTrue(answer(w, 1, "POST", "/work", job).startsWith("201 "));
  }

  @Test
  void moreNamesThanCanBeStoredAreRefusedAtOnce() {
    SimulatedCluster w = cluster(19);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < 700; i++) {
      names.add("req-" + (100_000 + i));
    }
    Map<String, Object> job = jobAfter("req-new", 1, names.toArray(String[]::new));
    String got = answer(w, 0, "POST", "/work", job);
    assertTrue(got.startsWith("400 ") && got.contains("waitsOn"), got);
  }

  @Test
  void withoutTheStateServiceNoNameIsCalledUnknown() {
    SimulatedCluster w = cluster(20);
    w.faults().stateOutage(true);
    w.run(SECOND);
    String got = answer(w, 0, "POST", "/work", jobAfter("req-new", 1, "req-1"));
    assertTrue(got.startsWith("503 "), got);
  }

  @Test
  void aJobBehindAWithdrawnOneIsAcceptedAndWithdrawn() {
    SimulatedCluster w = cluster(21);
    w.submit(0, job("req-1", "array", 3));
    w.run(SECOND);
    w.cancel(0, "req-1");
    w.run(SECOND);
    String got = answer(w, 1, "POST", "/work", jobAfter("req-2", 2, "req-1"));
    assertTrue(got.startsWith("201 ") && got.contains("withdrawn"), got);
    for (int node = 0; node < 3; node++) {
      assertTrue(answer(w, node, "GET", "/work/req-2", null).contains("withdrawn"));
      assertTrue(answer(w, node, "POST", "/work/req-2/abort", null).contains("withdrawn"));
      String repeat = answer(w, node, "POST", "/work", jobAfter("req-2", 2, "req-none"));
      assertTrue(repeat.startsWith("200 ") && repeat.contains("withdrawn"), repeat);
    }
    assertEquals("withdrawn", w.state().get("g/job/req-2").get("p"));
  }

  @Test
  void aLongChainIsWithdrawnWithItsFirst() {
    SimulatedCluster w = cluster(22);
    int length = 300;
    // Its tasks run on without end.
    w.submit(0, job("req-gone-0", "array", 2));
    w.run(SECOND);
    for (int i = 1; i < length; i++) {
      w.submit(i % 3, jobAfter("req-gone-" + i, 1, "req-gone-" + (i - 1)));
      w.run(SECOND / 5);
    }
    w.run(4 * SECOND);
    assertEquals(length, w.state().keys("g/job/").size());
    w.cancel(0, "req-gone-0");
    w.run(SECOND);
    String got = answer(w, 1, "GET", "/work/req-gone-" + (length - 1), null);
    assertTrue(got.contains("withdrawn"), got);
    w.run(60 * SECOND);
    for (int i = 0; i < length; i++) {
      assertEquals("withdrawn", w.state().get("g/job/req-gone-" + i).get("p"));
    }
    assertEquals(List.of(), w.violations());
  }
}
