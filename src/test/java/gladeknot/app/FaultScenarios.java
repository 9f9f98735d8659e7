package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/**
 * Plays cases of combined faults. Each begins with a cluster at work and users that go on polling;
 * once the faults are over, nothing may be forgotten or left waiting, and what was accepted comes
 * to its end.
 */
final class FaultScenarios {
  private static final int MIN_ROUNDS = 10;

  /** The largest cases begin within four minutes; most come to their end long before. */
  private static final int MAX_ROUNDS = 26;

  /** The faults of a case, for a cluster of so many controllers. */
  record Case(String name, int controllers, long seed, Consumer<SimulatedCluster> faults) {
    Case(String name, long seed, Consumer<SimulatedCluster> faults) {
      this(name, 3, seed, faults);
    }
  }

  private FaultScenarios() {}

  /** One test for each case. */
  static Stream<DynamicTest> tests(List<Case> cases) {
    return cases.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> play(testCase)));
  }

  /** A cluster that runs the service "req-web" with four replicas, without faults. */
  static SimulatedCluster clusterWithService(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(3, seed);
    cluster.run(3 * SECOND);
    cluster.submit(1, TestJobs.job("req-web", "service", 4));
    cluster.run(12 * SECOND);
    return cluster;
  }

  /** How many tasks of a job are on machines now. */
  static int runningTasks(SimulatedCluster cluster, String job) {
    return cluster.zones(job).values().stream().mapToInt(tasks -> tasks).sum();
  }

  private static void play(Case testCase) {
    // given
    SimulatedCluster cluster = clusterAtWork(testCase);
    // when
    testCase.faults().accept(cluster);
    cluster.expectRecovery();
    for (int i = 0; i < MAX_ROUNDS && (i < MIN_ROUNDS || !allJobsSettled(cluster)); i++) {
      cluster.run(10 * SECOND);
    }
    // then
    assertEquals(List.of(), cluster.violations());
    assertEquals(0, cluster.state().rejectedForSize());
    cluster.jobs().forEach(job -> assertSettled(job, cluster.phase(job)));
  }

  private static SimulatedCluster clusterAtWork(Case testCase) {
    SimulatedCluster cluster = new SimulatedCluster(testCase.controllers(), testCase.seed());
    cluster.startPolling();
    cluster.run(3 * SECOND);
    cluster.submit(0, TestJobs.job("req-array", "array", 40));
    cluster.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    cluster.submit(2, TestJobs.job("req-web", "service", 4));
    cluster.submit(1, TestJobs.job("req-cut1", "service", 3));
    cluster.submit(0, TestJobs.job("req-cut", "service", 5));
    cluster.run(15 * SECOND);
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

  /** Services run, all else is done; some cases cancel two of the jobs. */
  private static void assertSettled(String job, String phase) {
    boolean mayBeCancelled = job.equals("req-cut") || job.equals("req-full");
    if (!mayBeCancelled || !phase.equals("withdrawn")) {
      assertEquals(isService(job) ? "running" : "done", phase, job);
    }
  }
}
