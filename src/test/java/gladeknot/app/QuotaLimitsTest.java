package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.json.Json;
import gladeknot.settings.Settings;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import gladeknot.standin.TestTeams;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against tasks that start beyond a team's limit after the limit changes, or while the
 * stored record of its shares is malformed. No task may start beyond the limit, no running task is
 * stopped, and the record is corrected.
 *
 * <p>Failure: after a restart with a lower limit, or with a first limit, tasks of a team kept
 * starting beyond it. The shares were computed once, when the team's record was created, and never
 * compared with the limit again.
 */
class QuotaLimitsTest {
  private static final int CONTROLLERS = 3;
  private static final int TASKS = 48;
  private static final int MACHINES = 16;
  private static final String RECORD = "g/team/dev";

  /**
   * A change of the limit.
   *
   * @param running the number of one-CPU tasks that run in the end
   */
  private record LimitCase(String name, int limitBefore, int limitAfter, int running) {}

  private static final List<LimitCase> LIMITS =
      List.of(
          new LimitCase("a limit is lowered below the usage", 24, 12, 12),
          new LimitCase("a limit is raised", 12, 24, 24),
          new LimitCase("a first limit is below the usage", 0, 12, 12),
          new LimitCase("a limit is lifted", 12, 0, 4 * MACHINES));

  private record RecordCase(String name, Map<String, Object> record) {}

  private static final List<Object> NO_GPUS = List.of(0, 0, 0);

  private static final List<RecordCase> RECORDS =
      List.of(
          new RecordCase("shares beyond the limit", shares(List.of(24_000, 24_000, 24_000))),
          new RecordCase("too few shares", shares(List.of(24_000))),
          new RecordCase("shares that are not lists", Json.of("c", "24000", "g", "0")),
          new RecordCase("an empty record", Json.of()),
          new RecordCase("a negative share", shares(List.of(-24_000, 24_000, 24_000))),
          new RecordCase("a share that is not a number", shares(Arrays.asList("x", null, 24_000))),
          new RecordCase("no shares at all", shares(List.of(0, 0, 0))));

  private static Map<String, Object> shares(List<?> cpus) {
    return Json.of("c", cpus, "g", NO_GPUS);
  }

  private static Settings.Team dev(int cpus) {
    return TestTeams.team("dev", 4_000, cpus * 1_000L, 0, 0);
  }

  @TestFactory
  Stream<DynamicTest> changedLimitIsEnforced() {
    return LIMITS.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> runCase(testCase)));
  }

  private static void runCase(LimitCase testCase) {
    // given
    SimulatedCluster cluster = busyCluster(testCase.limitBefore());
    // when
    cluster.changeLimits(dev(testCase.limitAfter()));
    for (int i = 0; i < CONTROLLERS; i++) {
      cluster.kill(i);
    }
    cluster.run(MICROS_PER_SECOND);
    for (int i = 0; i < CONTROLLERS; i++) {
      cluster.start(i);
    }
    cluster.run(10 * MICROS_PER_SECOND);
    cluster.taskDuration(8 * MICROS_PER_SECOND);
    cluster.submit(1, longJob("req-next", 20 * TASKS));
    cluster.run(60 * MICROS_PER_SECOND);
    int maxTasks = maxRunning(cluster, 50);
    // then
    assertEquals(List.of(), violations(cluster));
    assertEquals(testCase.running(), maxTasks);
  }

  @TestFactory
  Stream<DynamicTest> malformedRecordIsCorrectedAndStartsStayWithinLimit() {
    return RECORDS.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> runCase(testCase)));
  }

  private static void runCase(RecordCase testCase) {
    // given
    SimulatedCluster cluster = busyCluster(24);
    // when
    cluster.state().overwrite(RECORD, testCase.record());
    cluster.run(10 * MICROS_PER_SECOND);
    assertEquals(24, cluster.tasksOnMachines(), "running tasks must not be stopped");
    cluster.taskDuration(8 * MICROS_PER_SECOND);
    cluster.submit(1, longJob("req-next", 20 * TASKS));
    cluster.run(60 * MICROS_PER_SECOND);
    int maxTasks = maxRunning(cluster, 50);
    // then
    assertEquals(List.of(), violations(cluster));
    assertEquals(24_000L, sharesOf(cluster).stream().mapToLong(Long::longValue).sum());
    assertEquals(24, maxTasks);
  }

  /**
   * Returns the maximum number of tasks on machines, sampled once a second. A single sample would
   * miss it, because the tasks end together.
   */
  private static int maxRunning(SimulatedCluster cluster, int seconds) {
    int maxTasks = 0;
    for (int i = 0; i < seconds; i++) {
      cluster.run(MICROS_PER_SECOND);
      maxTasks = Math.max(maxTasks, cluster.tasksOnMachines());
    }
    return maxTasks;
  }

  private static SimulatedCluster busyCluster(int limit) {
    SimulatedCluster cluster =
        new SimulatedCluster(CONTROLLERS, 43, ClusterScale.withTeams(MACHINES, 0, dev(limit)));
    cluster.taskDuration(100 * MICROS_PER_SECOND);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, longJob("req-first", TASKS));
    cluster.run(45 * MICROS_PER_SECOND);
    assertEquals(limit == 0 ? TASKS : limit, cluster.tasksOnMachines());
    return cluster;
  }

  private static Map<String, Object> longJob(String id, int tasks) {
    Map<String, Object> job = TestJobs.job(id, "array", tasks);
    job.put("guessS", 100.0);
    return job;
  }

  /**
   * Returns the violations other than those of stored records, which the tests corrupt
   * deliberately. Only violations by tasks on machines remain.
   */
  private static List<String> violations(SimulatedCluster cluster) {
    return cluster.violations().stream()
        .filter(violation -> !violation.startsWith("quota: shares of"))
        .filter(violation -> !violation.startsWith("quota: records of shard"))
        .filter(violation -> !violation.startsWith("quota: found exceeded by controller"))
        .toList();
  }

  private static List<Long> sharesOf(SimulatedCluster cluster) {
    return ((List<?>) cluster.state().get(RECORD).get("c"))
        .stream().map(share -> ((Number) share).longValue()).toList();
  }
}
