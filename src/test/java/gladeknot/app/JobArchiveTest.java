package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.jobs.JobRecordCodec;
import gladeknot.json.Json;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Final records are moved out of the keys that are listed at a start. Guards against records that
 * get lost, or are moved while a member can't read the archive.
 */
class JobArchiveTest {
  private static final int CONTROLLERS = 3;
  private static final int FINISHED_JOBS = 700;

  /** Time before the first record is moved. */
  private static final long DELAY_MICROS = 600 * MICROS_PER_SECOND;

  private static final long ARCHIVING_MICROS = 60 * MICROS_PER_SECOND;

  private record Case(String name, Consumer<SimulatedCluster> faults) {}

  private static final List<Case> CASES =
      List.of(
          new Case("nothing happens", cluster -> {}),
          new Case(
              "the archiving controller crashes and returns",
              cluster -> {
                cluster.kill(0);
                cluster.run(20 * MICROS_PER_SECOND);
                cluster.start(0);
              }),
          new Case("all crash", JobArchiveTest::restartAll),
          new Case(
              "transactions are applied late or lose their answers",
              cluster -> {
                cluster.faults().lateCommitShare(0.5);
                cluster.run(20 * MICROS_PER_SECOND);
                cluster.faults().lateCommitShare(0);
              }),
          new Case(
              "the archiving controller loses the state service",
              cluster -> {
                cluster.faults().disconnectFromState(0, true);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().disconnectFromState(0, false);
              }),
          new Case(
              "the state service has an outage",
              cluster -> {
                cluster.faults().stateOutage(true);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(false);
              }));

  @TestFactory
  Stream<DynamicTest> noRecordIsLostUnderFaults() {
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(c)));
  }

  private static void play(Case c) {
    SimulatedCluster cluster = clusterWithHistory();
    cluster.run(DELAY_MICROS + 2 * MICROS_PER_SECOND);
    assertTrue(cluster.state().keys("g/job/").size() > 0, "all records are moved already");
    assertTrue(cluster.state().keys("h/job/").size() > 0, "no record is moved yet");
    c.faults().accept(cluster);
    // The time begins anew with a controller that has started.
    cluster.run(DELAY_MICROS + ARCHIVING_MICROS);
    assertEquals(List.of(), cluster.state().keys("g/job/"));
    assertEquals(FINISHED_JOBS, cluster.state().keys("h/job/").size());
    for (int i = 0; i < FINISHED_JOBS; i += 50) {
      assertEquals(json(record(i)), json(cluster.state().get("h/job/" + id(i))));
      assertDone(cluster, i % CONTROLLERS, id(i));
    }
    assertEquals(List.of(), cluster.violations());
  }

  @Test
  void nothingIsMovedWhileAMemberRunsTheFirstVersion() {
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, 48);
    cluster.impersonateFirstVersion(2, true);
    presetHistory(cluster);
    cluster.run(DELAY_MICROS + ARCHIVING_MICROS);
    assertEquals(List.of(), cluster.state().keys("h/"));
    cluster.impersonateFirstVersion(2, false);
    restartAll(cluster);
    cluster.run(DELAY_MICROS + ARCHIVING_MICROS);
    assertEquals(FINISHED_JOBS, cluster.state().keys("h/job/").size());
  }

  /**
   * A cluster of the version before has a storage format without an archive, and split segments.
   */
  @Test
  void formatOfTheVersionBeforeIsRaisedAndKeepsItsSplit() {
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, 49);
    cluster.state().preset("g/format", Json.of("f", 2, "split", 4));
    cluster.run(30 * MICROS_PER_SECOND);
    assertEquals(Json.of("f", 4, "split", 4), cluster.state().get("g/format"));
    cluster.submit(0, TestJobs.job("req-after", "array", 5));
    cluster.run(30 * MICROS_PER_SECOND);
    assertEquals(5, cluster.doneTasks("req-after"));
    assertEquals(List.of(), cluster.violations());
  }

  private static SimulatedCluster clusterWithHistory() {
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, 47);
    presetHistory(cluster);
    return cluster;
  }

  private static void presetHistory(SimulatedCluster cluster) {
    for (int i = 0; i < FINISHED_JOBS; i++) {
      cluster.state().preset("g/job/" + id(i), record(i));
    }
  }

  private static Map<String, Object> record(int index) {
    return JobRecordCodec.encodeDone(1, 1_000_000L + index);
  }

  private static String json(Map<String, Object> value) {
    return new String(Json.bytes(value), StandardCharsets.UTF_8);
  }

  private static String id(int index) {
    return String.format("req-old-%04d", index);
  }

  private static void restartAll(SimulatedCluster cluster) {
    cluster.kill(0, 1, 2);
    cluster.run(MICROS_PER_SECOND);
    cluster.start(0, 1, 2);
  }

  private static void assertDone(SimulatedCluster cluster, int node, String id) {
    List<Integer> statuses = new ArrayList<>();
    cluster.request(node, "GET", "/work/" + id, null, answer -> statuses.add(answer.status()));
    cluster.run(MICROS_PER_SECOND);
    assertEquals(List.of(200), statuses, id);
  }
}
