package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/**
 * Runs cases of combined faults. Each case starts with a busy cluster and users that keep polling.
 * After the faults no job may be forgotten or left pending, and every accepted job must settle.
 */
final class FaultScenarios {
  private static final int MIN_ROUNDS = 10;

  /** Maximum number of rounds; the largest cases start within four minutes, most settle earlier. */
  private static final int MAX_ROUNDS = 26;

  /** A cluster of the given number of controllers and the faults that are injected into it. */
  record Case(String name, int controllers, long seed, Consumer<SimulatedCluster> faults) {
    Case(String name, long seed, Consumer<SimulatedCluster> faults) {
      this(name, 3, seed, faults);
    }
  }

  private FaultScenarios() {}

  /** Returns one dynamic test per case. */
  static Stream<DynamicTest> tests(List<Case> cases) {
    return cases.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> runCase(testCase)));
  }

  /** Returns a cluster without faults that runs the service "req-web" with four replicas. */
  static SimulatedCluster clusterWithService(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(3, seed);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(1, TestJobs.job("req-web", "service", 4));
    cluster.run(12 * MICROS_PER_SECOND);
    return cluster;
  }

  /** Returns the number of tasks of a job that are on machines now. */
  static int runningTasks(SimulatedCluster cluster, String job) {
    return cluster.zones(job).values().stream().mapToInt(tasks -> tasks).sum();
  }

  private static void runCase(Case testCase) {
    // given
    SimulatedCluster cluster = busyCluster(testCase);
    // when
    testCase.faults().accept(cluster);
    cluster.expectRecovery();
    for (int i = 0; i < MAX_ROUNDS && (i < MIN_ROUNDS || !allJobsSettled(cluster)); i++) {
      cluster.run(10 * MICROS_PER_SECOND);
    }
    // then
    assertEquals(List.of(), cluster.violations());
    assertEquals(0, cluster.state().rejectedForSize());
    cluster.jobs().forEach(job -> assertSettled(job, cluster.phase(job)));
  }

  private static SimulatedCluster busyCluster(Case testCase) {
    SimulatedCluster cluster = new SimulatedCluster(testCase.controllers(), testCase.seed());
    cluster.startPolling();
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-array", "array", 40));
    cluster.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    cluster.submit(2, TestJobs.job("req-web", "service", 4));
    cluster.submit(1, TestJobs.job("req-cut1", "service", 3));
    cluster.submit(0, TestJobs.job("req-cut", "service", 5));
    cluster.run(15 * MICROS_PER_SECOND);
    return cluster;
  }

  private static boolean allJobsSettled(SimulatedCluster cluster) {
    return cluster.jobs().stream()
        .allMatch(
            job -> {
              String phase = cluster.phase(job);
              return phase.equals("done")
                  || phase.equals("withdrawn")
                  || (phase.equals("running") && isService(job));
            });
  }

  private static boolean isService(String job) {
    return job.startsWith("req-web") || job.startsWith("req-cut");
  }

  /**
   * Asserts that a service is running and any other job is done. Some cases cancel req-cut or
   * req-full, which may therefore be withdrawn.
   */
  private static void assertSettled(String job, String phase) {
    boolean mayBeCancelled = job.equals("req-cut") || job.equals("req-full");
    if (!mayBeCancelled || !phase.equals("withdrawn")) {
      assertEquals(isService(job) ? "running" : "done", phase, job);
    }
  }
}
