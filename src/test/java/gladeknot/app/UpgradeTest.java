package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static gladeknot.standin.TestJobs.job;
import static gladeknot.standin.TestJobs.jobAfter;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Controllers are replaced by this version one after the other while jobs run, and the state
 * service lowers its limits. The checker refuses what the first version could not read before all
 * run this one; in the end every record fits the lower limits, and all jobs are served.
 */
class UpgradeTest {
  private static final int NODES = 3;
  private static final int SERVICES = 8;
  private static final int REPLICAS = 9;
  private static final int NEXT_VALUE_BYTES = 640;
  private static final int NEXT_OPERATIONS = 4;

  /** Transactions that may be refused while the limits fall unseen. */
  private static final int MAX_REFUSED = 6;

  private static final ClusterScale SCALE =
      new ClusterScale(
          180, 700_000, 300, 150, 4 * NEXT_VALUE_BYTES, NEXT_VALUE_BYTES, NEXT_OPERATIONS);

  private record Case(String name, Consumer<SimulatedCluster> upgrade) {}

  private static void replace(SimulatedCluster w, int... nodes) {
    for (int node : nodes) {
      w.kill(node);
    }
    w.run(2 * SECOND);
    for (int node : nodes) {
      w.impersonateFirstVersion(node, false);
      w.start(node);
    }
    w.run(6 * SECOND);
  }

  private static final List<Case> CASES =
      List.of(
          new Case(
              "one after the other, limits lowered much later",
              w -> {
                replace(w, 0);
                replace(w, 1);
                replace(w, 2);
                w.run(20 * SECOND);
                w.lowerLimits();
              }),
          new Case(
              "backwards, limits lowered as the last is back",
              w -> {
                replace(w, 2);
                replace(w, 1);
                replace(w, 0);
                w.lowerLimits();
              }),
          new Case(
              "all at once, limits lowered while records move",
              w -> {
                replace(w, 0, 1, 2);
                for (int i = 0; w.state().get("g/format") == null && i < 300; i++) {
                  w.run(SECOND / 10);
                }
                w.run(SECOND / 10);
                w.lowerLimits();
              }),
          new Case(
              "limits lowered before the last is replaced",
              w -> {
                replace(w, 0, 1);
                w.lowerLimits();
                w.run(10 * SECOND);
                replace(w, 2);
              }),
          new Case(
              "a death before its turn, coming back old",
              w -> {
                replace(w, 0);
                w.kill(1);
                w.run(2 * SECOND);
                w.start(1);
                w.run(6 * SECOND);
                replace(w, 2);
                replace(w, 1);
                w.run(3 * SECOND);
                w.lowerLimits();
              }),
          new Case(
              "all end midway",
              w -> {
                replace(w, 0);
                w.kill(0);
                w.kill(1);
                w.kill(2);
                w.run(12 * SECOND);
                w.start(0);
                w.start(1);
                w.start(2);
                w.run(6 * SECOND);
                replace(w, 1);
                replace(w, 2);
                w.run(SECOND);
                w.lowerLimits();
              }),
          new Case(
              "an outage midway, and late transactions",
              w -> {
                w.faults().lateCommitShare(0.2);
                replace(w, 0, 1);
                w.faults().stateOutage(true);
                w.run(15 * SECOND);
                w.faults().stateOutage(false);
                replace(w, 2);
                w.run(10 * SECOND);
                w.faults().lateCommitShare(0);
                w.lowerLimits();
              }),
          new Case(
              "a controller ends while records move",
              w -> {
                replace(w, 0, 1, 2);
                for (int i = 0; w.state().get("g/format") == null && i < 300; i++) {
                  w.run(SECOND / 10);
                }
                w.kill(2);
                w.run(3 * SECOND);
                w.lowerLimits();
                w.run(10 * SECOND);
                w.start(2);
              }));

  @TestFactory
  Stream<DynamicTest> rulesHold() {
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(c)));
  }

  private static SimulatedCluster oldCluster(long seed) {
    SimulatedCluster w = new SimulatedCluster(NODES, seed, SCALE);
    for (int i = 0; i < NODES; i++) {
      w.impersonateFirstVersion(i, true);
    }
    w.startPolling();
    w.run(4 * SECOND);
    w.taskDuration(60 * SECOND);
    for (int i = 0; i < SERVICES; i++) {
      w.submit(i % NODES, job("req-web-" + i, "service", REPLICAS));
    }
    for (int i = 0; i < 50; i++) {
      w.submit(i % NODES, job("req-old-" + i, "array", 12));
    }
    w.run(30 * SECOND);
    // Parts that will have to be split, or the rows would show little.
    assertTrue(
        w.state().keys("g/sl/").stream()
            .anyMatch(key -> Json.bytes(w.state().get(key)).length > NEXT_VALUE_BYTES));
    return w;
  }

  private static void play(Case c) {
    SimulatedCluster w = oldCluster(41);
    assertNull(w.state().get("g/format"));
    c.upgrade().accept(w);
    w.run(10 * SECOND);
    w.taskDuration(6 * SECOND);
    w.submit(0, job("req-first", "array", 60));
    w.submit(1, job("req-web-new", "service", 5));
    w.run(2 * SECOND);
    w.submit(2, jobAfter("req-second", 30, "req-first", "req-old-1"));
    w.expectRecovery();
    w.run(120 * SECOND);
    assertEquals(List.of(), w.violations());
    assertTrue(w.state().get("g/format") != null, "no mark");
    for (String id : w.jobs()) {
      assertEquals(id.startsWith("req-web") ? "running" : "done", w.phase(id), id);
    }
    assertEquals(SERVICES * REPLICAS + 5, w.tasksOnMachines());
    for (String key : w.state().keys("g/")) {
      int bytes = Json.bytes(w.state().get(key)).length;
      assertTrue(bytes <= NEXT_VALUE_BYTES, key + " has " + bytes);
      assertTrue(!key.matches("g/sl/[0-9]+/[aw][0-9]"), key + " is left");
    }
    assertTrue(
        w.state().rejectedForSize() <= MAX_REFUSED, w.state().rejectedForSize() + " refused");
  }

  @Test
  void noMarkWhileOneIsAwayOrOld() {
    SimulatedCluster w = oldCluster(42);
    replace(w, 0);
    replace(w, 1);
    w.kill(2);
    w.run(40 * SECOND);
    assertNull(w.state().get("g/format"));
    w.start(2);
    w.run(20 * SECOND);
    assertNull(w.state().get("g/format"));
    replace(w, 2);
    w.run(5 * SECOND);
    Map<String, Object> mark = w.state().get("g/format");
    assertEquals(4L, Json.num(mark, "split", 0));
    assertEquals(List.of(), w.violations());
  }
}
