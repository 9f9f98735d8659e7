package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * The checkers of a simulation detect each violated invariant. Without this test a passing
 * simulation would prove little.
 */
class CheckerTest {
  private record Case(String expectedViolation, Consumer<SimulatedCluster> breach) {}

  private static final List<Case> CASES =
      List.of(
          new Case(
              "ran_twice",
              cluster ->
                  cluster
                      .machineFaults()
                      .runUnscheduledTask(0, "req-web/" + cluster.taskNotOn(0, "req-web"))),
          new Case(
              "quota",
              cluster -> {
                for (int i = 0; i < 40; i++) {
                  cluster.machineFaults().runUnscheduledTask(i, "req-web/" + (100 + i));
                }
              }),
          new Case(
              "ran_cancelled",
              cluster -> {
                cluster.cancel(0, "req-web");
                cluster.run(MICROS_PER_SECOND);
                killAllControllers(cluster);
                for (int i = 0; i < 30; i++) {
                  cluster.machineFaults().renewLease(0);
                  cluster.machineFaults().runUnscheduledTask(0, "req-web/0");
                  cluster.run(MICROS_PER_SECOND);
                }
              }),
          new Case(
              "started after its cancellation",
              cluster -> {
                cluster.cancel(0, "req-web");
                cluster.run(12 * MICROS_PER_SECOND);
                cluster.machineFaults().runUnscheduledTask(0, "req-web/0");
              }),
          new Case(
              "too_early",
              cluster -> {
                cluster.submit(0, TestJobs.job("req-after", "array", 2));
                cluster.assumeDependency("req-after", "req-web");
                cluster.run(10 * MICROS_PER_SECOND);
              }),
          new Case(
              "orphaned",
              cluster -> {
                cluster.submit(0, TestJobs.job("req-gone", "service", 2));
                cluster.assumeDependency("req-gone", "req-web");
                cluster.cancel(0, "req-web");
                cluster.run(40 * MICROS_PER_SECOND);
              }),
          new Case(
              "went_back",
              cluster -> {
                cluster.submit(0, TestJobs.job("req-gone", "array", 2));
                cluster.submit(0, TestJobs.jobAfter("req-after", 2, "req-gone"));
                cluster.assumeDependency("req-after", "req-web");
                cluster.cancel(0, "req-gone");
                cluster.run(10 * MICROS_PER_SECOND);
              }),
          new Case(
              "forgotten",
              cluster -> {
                killAllControllers(cluster);
                cluster.expectRecovery();
                cluster.run(80 * MICROS_PER_SECOND);
              }),
          new Case(
              "left waiting",
              cluster -> {
                killAllControllers(cluster);
                cluster.expectRecovery();
                cluster.run(110 * MICROS_PER_SECOND);
              }),
          new Case(
              "accepted",
              cluster -> cluster.submitInvalid(0, TestJobs.job("req-fine", "array", 1), 422)),
          new Case(
              "refused with",
              cluster -> cluster.submitInvalid(0, TestJobs.job("bad", "array", 1), 422)));

  private static void killAllControllers(SimulatedCluster cluster) {
    for (int i = 0; i < 3; i++) {
      cluster.kill(i);
    }
  }

  @TestFactory
  Stream<DynamicTest> eachBreachIsDetected() {
    return CASES.stream()
        .map(
            testCase ->
                DynamicTest.dynamicTest(testCase.expectedViolation(), () -> runCase(testCase)));
  }

  private static void runCase(Case testCase) {
    SimulatedCluster cluster = new SimulatedCluster(3, 7);
    cluster.startPolling();
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-web", "service", 4));
    cluster.run(15 * MICROS_PER_SECOND);
    assertEquals(List.of(), cluster.violations());
    testCase.breach().accept(cluster);
    cluster.run(MICROS_PER_SECOND);
    assertTrue(
        cluster.violations().stream()
            .anyMatch(violation -> violation.startsWith(testCase.expectedViolation())),
        () -> "found instead: " + cluster.violations());
  }
}
