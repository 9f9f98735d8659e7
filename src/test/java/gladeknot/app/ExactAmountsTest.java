package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.ResourceUnits;
import gladeknot.settings.Settings;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.FakeCloud;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against amounts that are counted as less than a task needs, or as more than a machine has
 * or a team may use.
 *
 * <p>Failure: tasks that needed 32.000442 GB were sent to machines of 32 GB, which refused them
 * again and again; and 40 tasks of 3.4004 CPUs ran at once for a team that may use 136 CPUs.
 *
 * <p>Cause: all amounts were rounded to the nearest thousandth.
 */
class ExactAmountsTest {
  private static final int CONTROLLERS = 3;
  private static final int MACHINES = 16;

  /**
   * Tasks of one team at its limit.
   *
   * @param tasks number of submitted tasks, more than may run at once unless all may
   * @param running number of tasks that the limit allows at once
   */
  private record LimitCase(String cores, String limit, int tasks, int running) {}

  private static final List<LimitCase> LIMITS =
      List.of(
          new LimitCase("1.1", "11", 10, 10),
          new LimitCase("1.1", "10.999999999", 10, 9),
          new LimitCase("3.4004", "40.8", 12, 11),
          new LimitCase("3.4004", "40.8048", 12, 12),
          new LimitCase("1.0001", "3.0003", 9, 3),
          new LimitCase("1.0004", "24", 30, 23),
          new LimitCase("0.333333333", "3.999999996", 20, 12),
          new LimitCase("0.7", "2.1", 9, 3),
          new LimitCase("0.0001", "0.0005", 9, 5));

  @TestFactory
  Stream<DynamicTest> teamUsesItsLimitAndNoMore() {
    return LIMITS.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.toString(), () -> runCase(testCase)));
  }

  private static void runCase(LimitCase testCase) {
    // given
    Settings.Team team =
        new Settings.Team(
            "dev", 0, ResourceUnits.available(new BigDecimal(testCase.limit())), 0, 0);
    SimulatedCluster cluster =
        new SimulatedCluster(CONTROLLERS, 71, ClusterScale.withTeams(MACHINES, 0, team));
    cluster.taskDuration(300 * MICROS_PER_SECOND);
    cluster.run(10 * MICROS_PER_SECOND);
    // when
    cluster.submit(0, job("req-many", testCase.tasks(), testCase.cores(), "0.5"));
    cluster.run(50 * MICROS_PER_SECOND);
    int running = cluster.tasksOnMachines();
    cluster.kill(1);
    cluster.run(MICROS_PER_SECOND / 2);
    cluster.start(1);
    cluster.run(40 * MICROS_PER_SECOND);
    // then
    assertEquals(List.of(), cluster.violations());
    assertEquals(testCase.running(), running);
    assertEquals(testCase.running(), cluster.tasksOnMachines(), "after a restart");
    assertEquals(0, cluster.refusedStarts());
  }

  /** A task that is a little too large for the small machines runs on a large one. */
  @Test
  void taskSlightlyLargerThanMachineRunsElsewhere() {
    for (String memoryGb : List.of("16.000442", "16.000000001", "16.000000000001")) {
      SimulatedCluster cluster = clusterWithLargeType(72, "16.0");
      cluster.submit(0, job("req-large", 4, "2.0", memoryGb));
      cluster.submit(1, job("req-exact", 4, "2.0", "16.0"));
      cluster.run(60 * MICROS_PER_SECOND);
      assertTrue(!cluster.hosts("req-large").isEmpty(), memoryGb + " GB: no task runs");
      assertEquals(4, tasksOf(cluster, "req-exact"), "16.0 fits 16");
      assertTrue(hostsOnlySmallTasks(cluster), "small machines have no task of req-large");
      assertEquals(0, cluster.refusedStarts());
      assertEquals(List.of(), cluster.violations());
    }
  }

  /**
   * Machines that have less than the cloud says refuse the tasks. They must not be chosen again and
   * again: the tasks run on another type.
   */
  @Test
  void machineThatRefusesTaskIsNotChosenForEver() {
    SimulatedCluster cluster = clusterWithLargeType(73, "20.0");
    cluster.submit(0, job("req-large", 6, "2.0", "18.0"));
    cluster.run(90 * MICROS_PER_SECOND);
    assertEquals(6, tasksOf(cluster, "req-large"), "tasks run on the large type");
    assertTrue(cluster.refusedStarts() <= 6, cluster.refusedStarts() + " refused starts");
    assertEquals(List.of(), cluster.violations());
  }

  /** Returns whether no task of the large job is on a machine of the small type. */
  private static boolean hostsOnlySmallTasks(SimulatedCluster cluster) {
    Set<String> hosts = cluster.hosts("req-large");
    return cluster.cloud().machines().stream()
        .filter(machine -> hosts.contains(machine.id()))
        .allMatch(machine -> machine.type().equals(FakeCloud.LARGE_TYPE));
  }

  private static int tasksOf(SimulatedCluster cluster, String job) {
    return cluster.zones(job).values().stream().mapToInt(Integer::intValue).sum();
  }

  private static SimulatedCluster clusterWithLargeType(long seed, String listedMemoryGb) {
    Settings.Team team = new Settings.Team("dev", 0, 0, 0, 0);
    SimulatedCluster cluster =
        new SimulatedCluster(CONTROLLERS, seed, ClusterScale.withTeams(MACHINES, 0, team));
    cluster.cloud().offerLargeType();
    cluster.cloud().listMemoryGb(FakeCloud.SMALL_TYPE, new BigDecimal(listedMemoryGb));
    cluster.taskDuration(300 * MICROS_PER_SECOND);
    cluster.run(5 * MICROS_PER_SECOND);
    return cluster;
  }

  private static Map<String, Object> job(String id, int tasks, String cores, String memoryGb) {
    Map<String, Object> job = TestJobs.job(id, "array", tasks);
    job.put("guessS", 300.0);
    job.put("dueS", null);
    job.put("cores", new BigDecimal(cores));
    job.put("memoryGb", new BigDecimal(memoryGb));
    return job;
  }
}
