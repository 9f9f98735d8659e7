package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Requests about jobs that finished before the controllers started are answered as if the
 * controllers kept them. Guards against finished jobs that are forgotten, or started anew, because
 * the watch cache does not keep them.
 */
class FinishedJobHistoryTest {
  private static final int CONTROLLERS = 3;

  /** Time after which all finished jobs are in the archive. */
  private static final long ARCHIVING_MICROS = 660 * MICROS_PER_SECOND;

  private static final String DONE = "req-old-done";
  private static final String CANCELLED = "req-old-cancelled";
  private static final String NEVER = "req-never";

  /** A request with its expected status and a part of its answer. */
  private record Case(String name, String method, String path, Object body, String answer) {}

  private static final List<Case> CASES =
      List.of(
          poll(DONE, "200 \"phase\":\"done\",\"done\":3,\"running\":0"),
          poll(CANCELLED, "200 \"phase\":\"withdrawn\",\"done\":0,\"running\":0"),
          poll(NEVER, "404 no such job"),
          cancel(DONE, "200 \"phase\":\"done\""),
          cancel(CANCELLED, "200 \"phase\":\"withdrawn\""),
          cancel(NEVER, "404 no such job"),
          submit("repeated submission", TestJobs.job(DONE, "array", 3), "200 \"phase\":\"done\""),
          submit(
              "repeated submission of a cancelled job",
              TestJobs.job(CANCELLED, "array", 3),
              "200 \"phase\":\"withdrawn\""),
          submit(
              "repeated submission by a team that no longer exists",
              with(TestJobs.job(DONE, "array", 3), "owner", "gone"),
              "200 \"phase\":\"done\""),
          submit(
              "submission by a team that does not exist",
              with(TestJobs.job(NEVER, "array", 3), "owner", "gone"),
              "422 unknown team gone"),
          submit(
              "submission after a job that never was",
              TestJobs.jobAfter("req-new", 1, DONE, NEVER),
              "422 no such job " + NEVER));

  /** Returns a cluster whose controllers have started after the jobs have finished. */
  private static SimulatedCluster clusterWithHistory(long archivingMicros) {
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, 47);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job(DONE, "array", 3));
    cluster.submit(1, TestJobs.job(CANCELLED, "array", 3));
    cluster.run(MICROS_PER_SECOND);
    cluster.cancel(2, CANCELLED);
    cluster.run(30 * MICROS_PER_SECOND + archivingMicros);
    assertEquals(3, cluster.doneTasks(DONE));
    boolean archived = archivingMicros > 0;
    assertEquals(archived ? 2 : 0, cluster.state().keys("h/job/").size());
    assertEquals(archived ? 0 : 2, cluster.state().keys("g/job/").size());
    restartAll(cluster);
    cluster.run(3 * MICROS_PER_SECOND);
    return cluster;
  }

  private static void restartAll(SimulatedCluster cluster) {
    cluster.kill(0, 1, 2);
    cluster.run(MICROS_PER_SECOND);
    cluster.start(0, 1, 2);
  }

  @TestFactory
  Stream<DynamicTest> requestsAboutFinishedJobs() {
    SimulatedCluster cluster = clusterWithHistory(0);
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(cluster, c)));
  }

  @TestFactory
  Stream<DynamicTest> requestsAboutArchivedJobs() {
    SimulatedCluster cluster = clusterWithHistory(ARCHIVING_MICROS);
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(cluster, c)));
  }

  private static void play(SimulatedCluster cluster, Case c) {
    for (int node = 0; node < CONTROLLERS; node++) {
      String answer = cluster.answerOf(node, c.method(), c.path(), c.body());
      assertEquals(c.answer().substring(0, 3), answer.substring(0, 3), answer);
      assertEquals(true, answer.contains(c.answer().substring(4)), answer);
    }
    assertEquals(0, cluster.tasksOnMachines());
    assertEquals(List.of(), cluster.violations());
  }

  @ParameterizedTest
  @ValueSource(longs = {0, ARCHIVING_MICROS})
  void jobsRunAfterFinishedDependencyAlsoAfterRestart(long archivingMicros) {
    SimulatedCluster cluster = clusterWithHistory(archivingMicros);
    cluster.submit(0, TestJobs.job("req-first", "array", 1));
    cluster.submit(1, TestJobs.jobAfter("req-second", 1, DONE, "req-first"));
    cluster.run(2 * MICROS_PER_SECOND);
    restartAll(cluster);
    cluster.run(60 * MICROS_PER_SECOND);
    assertEquals(1, cluster.doneTasks("req-second"));
    assertEquals(List.of(), cluster.violations());
  }

  /** Guards against running tasks that are stopped because their job seems to be held. */
  @ParameterizedTest
  @ValueSource(longs = {0, ARCHIVING_MICROS})
  void restartDoesNotStopTasksOfJobWithFinishedDependency(long archivingMicros) {
    SimulatedCluster cluster = clusterWithHistory(archivingMicros);
    int startsBefore = cluster.starts();
    cluster.submit(0, TestJobs.jobAfter("req-web-after", 6, DONE));
    cluster.run(20 * MICROS_PER_SECOND);
    assertEquals(6, cluster.starts() - startsBefore);
    for (int node = 0; node < CONTROLLERS; node++) {
      cluster.kill(node);
      cluster.run(MICROS_PER_SECOND);
      cluster.start(node);
      cluster.run(10 * MICROS_PER_SECOND);
    }
    restartAll(cluster);
    cluster.run(20 * MICROS_PER_SECOND);
    assertEquals(6, cluster.starts() - startsBefore);
    assertEquals(6, cluster.tasksOnMachines());
    assertEquals(List.of(), cluster.violations());
  }

  @ParameterizedTest
  @ValueSource(longs = {0, ARCHIVING_MICROS})
  void jobAfterCancelledJobIsCancelled(long archivingMicros) {
    SimulatedCluster cluster = clusterWithHistory(archivingMicros);
    String accepted =
        cluster.answerOf(0, "POST", "/work", TestJobs.jobAfter("req-after", 1, DONE, CANCELLED));
    assertEquals("201", accepted.substring(0, 3), accepted);
    cluster.run(5 * MICROS_PER_SECOND);
    for (int node = 0; node < CONTROLLERS; node++) {
      String answer = cluster.answerOf(node, "GET", "/work/req-after", null);
      assertEquals(true, answer.contains("withdrawn"), answer);
    }
    assertEquals(0, cluster.tasksOnMachines());
  }

  private static Case poll(String id, String answer) {
    return new Case("poll of " + id, "GET", "/work/" + id, null, answer);
  }

  private static Case cancel(String id, String answer) {
    return new Case("cancellation of " + id, "POST", "/work/" + id + "/abort", null, answer);
  }

  private static Case submit(String name, Map<String, Object> job, String answer) {
    return new Case(name, "POST", "/work", job, answer);
  }

  private static Map<String, Object> with(Map<String, Object> job, String field, Object value) {
    job.put(field, value);
    return job;
  }
}
