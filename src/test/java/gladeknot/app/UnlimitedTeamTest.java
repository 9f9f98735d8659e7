package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Five controllers with a low shared write rate and one team without limits (a limit of 0 means
 * none). The invariants hold and all jobs complete, also under two faults at once.
 */
class UnlimitedTeamTest {
  private static final int CONTROLLERS = 5;
  private static final long NO_LIMIT = 0;
  private static final int MACHINES = 40;
  private static final ClusterScale SCALE = new ClusterScale(MACHINES, NO_LIMIT, 100, 15, 4096);

  private record Case(String name, long seed, Consumer<SimulatedCluster> faults) {}

  private static final List<Case> CASES =
      List.of(
          new Case("nothing happens", 1, cluster -> cluster.run(20 * MICROS_PER_SECOND)),
          new Case(
              "all controllers end inside an outage of the state service",
              2,
              cluster -> {
                cluster.faults().stateOutage(true);
                cluster.run(5 * MICROS_PER_SECOND);
                restartAll(cluster, 3 * MICROS_PER_SECOND);
                cluster.run(12 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(false);
              }),
          new Case(
              "all controllers end just after an outage of the state service",
              3,
              cluster -> {
                cluster.faults().stateOutage(true);
                cluster.run(20 * MICROS_PER_SECOND);
                cluster.faults().stateOutage(false);
                cluster.run(MICROS_PER_SECOND);
                restartAll(cluster, 6 * MICROS_PER_SECOND);
              }),
          new Case(
              "a slow state service while a controller is disconnected from it",
              4,
              cluster -> {
                cluster.faults().delayStateCalls(60_000);
                cluster.faults().disconnectFromState(0, true);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().disconnectFromState(0, false);
                cluster.faults().delayStateCalls(0);
              }),
          new Case(
              "controllers can't reach one another while one ends",
              5,
              cluster -> {
                for (int i = 0; i < CONTROLLERS; i++) {
                  cluster.faults().disconnectFromPeers(i, true);
                }
                cluster.kill(1);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.start(1);
                for (int i = 0; i < CONTROLLERS; i++) {
                  cluster.faults().disconnectFromPeers(i, false);
                }
              }));

  private static void restartAll(SimulatedCluster cluster, long awayMicros) {
    for (int i = 0; i < CONTROLLERS; i++) {
      cluster.kill(i);
    }
    cluster.run(awayMicros);
    for (int i = 0; i < CONTROLLERS; i++) {
      cluster.start(i);
    }
  }

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndJobsComplete() {
    return CASES.stream()
        .map(testCase -> DynamicTest.dynamicTest(testCase.name(), () -> runCase(testCase)));
  }

  private static void runCase(Case testCase) {
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, testCase.seed(), SCALE);
    cluster.startPolling();
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-array", "array", 60));
    cluster.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    cluster.submit(2, TestJobs.job("req-web", "service", 4));
    cluster.run(12 * MICROS_PER_SECOND);
    testCase.faults().accept(cluster);
    cluster.expectRecovery();
    cluster.run(100 * MICROS_PER_SECOND);
    assertEquals(List.of(), cluster.violations());
    assertEquals("done", cluster.phase("req-array"));
    assertEquals("done", cluster.phase("req-gang"));
    assertEquals("running", cluster.phase("req-web"));
  }

  @Test
  void unlimitedTeamCanUseAllMachines() {
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, 9, SCALE);
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-web", "service", 4 * MACHINES));
    cluster.run(60 * MICROS_PER_SECOND);
    assertEquals(List.of(), cluster.violations());
    assertTrue(cluster.tasksOnMachines() > 3 * MACHINES, cluster.tasksOnMachines() + " tasks");
  }
}
