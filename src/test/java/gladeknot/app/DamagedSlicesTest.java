package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against a second start of a task whose stored records are inconsistent: a task in two
 * slices, or a slice in two segments. No controller of this version writes such records, so the
 * test overwrites them. The record checker must detect the damage at the write, each controller
 * must report it, and none may start the task again. Cancelling the job deletes all its records.
 */
class DamagedSlicesTest {
  private static final int CONTROLLERS = 3;
  private static final String JOB = "req-web";

  /** Stored record of a slice with one pending task and no attempts. */
  private static final String PENDING_TASK = "dev|1000|0|1000|0|0||";

  private record Case(String name, String segment, String recordViolation) {}

  private static final List<Case> CASES =
      List.of(
          new Case(
              "a task in the slices of two shards",
              "g/sl/1/w0",
              "tasks {0} of req-web are assigned"),
          new Case("a slice in two segments", "g/sl/0/w4-3", "a slice of req-web is in g/sl/0/w"));

  @TestFactory
  Stream<DynamicTest> allControllersReportItAndNoneRestartsTheTask() {
    return CASES.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> play(testCase)));
  }

  private static void play(Case testCase) {
    // given
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, 71);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job(JOB, "service", 1));
    for (int node = 0; node < CONTROLLERS; node++) {
      // Gives each shard a machine with free capacity.
      cluster.submit(node, TestJobs.job("req-web-room" + node, "service", 1));
    }
    cluster.run(15 * MICROS_PER_SECOND);
    assertEquals(1, cluster.hosts(JOB).size());
    int starts = cluster.starts();
    assertEquals(List.of(), cluster.violations());
    // when
    addRecord(cluster, testCase.segment());
    assertTrue(
        cluster.violations().stream().anyMatch(found -> found.contains(testCase.recordViolation())),
        () -> cluster.violations().toString());
    cluster.run(15 * MICROS_PER_SECOND);
    // then
    for (int node = 0; node < CONTROLLERS; node++) {
      String violation = "ran_twice: slices found violated by controller " + node;
      assertTrue(cluster.violations().contains(violation), violation);
    }
    assertEquals(starts, cluster.starts());
    assertEquals(1, cluster.hosts(JOB).size());
    // when
    cluster.cancel(0, JOB);
    cluster.run(20 * MICROS_PER_SECOND);
    // then
    assertEquals(0, cluster.hosts(JOB).size());
    for (String key : cluster.state().keys("g/sl/")) {
      assertFalse(cluster.state().get(key).containsKey(JOB), key);
    }
  }

  private static void addRecord(SimulatedCluster cluster, String segment) {
    Map<String, Object> records = new HashMap<>(Json.of());
    Map<String, Object> stored = cluster.state().get(segment);
    if (stored != null) {
      records.putAll(stored);
    }
    records.put(JOB, PENDING_TASK);
    cluster.state().overwrite(segment, records);
  }
}
