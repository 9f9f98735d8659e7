package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** The world's checker catches each broken rule; without this a day that holds would say little. */
class CheckerTest {
  private record Case(String caught, Consumer<SimulatedCluster> breach) {}

  private static final List<Case> CASES =
      List.of(
          new Case(
              "ran_twice",
              w -> w.machineFaults().runUnscheduledTask(0, "req-web/" + w.taskNotOn(0, "req-web"))),
          new Case(
              "quota",
              w -> {
                for (int i = 0; i < 40; i++) {
                  w.machineFaults().runUnscheduledTask(i, "req-web/" + (100 + i));
                }
              }),
          new Case(
              "ran_cancelled",
              w -> {
                w.cancel(0, "req-web");
                w.run(SECOND);
                downAll(w);
                for (int i = 0; i < 30; i++) {
                  w.machineFaults().renewLease(0);
                  w.machineFaults().runUnscheduledTask(0, "req-web/0");
                  w.run(SECOND);
                }
              }),
          new Case(
              "started after its cancellation",
              w -> {
                w.cancel(0, "req-web");
                w.run(12 * SECOND);
                w.machineFaults().runUnscheduledTask(0, "req-web/0");
              }),
          new Case(
              "too_early",
              w -> {
                w.submit(0, TestJobs.job("req-after", "array", 2));
                w.assumeDependency("req-after", "req-web");
                w.run(10 * SECOND);
              }),
          new Case(
              "orphaned",
              w -> {
                w.submit(0, TestJobs.job("req-gone", "service", 2));
                w.assumeDependency("req-gone", "req-web");
                w.cancel(0, "req-web");
                w.run(40 * SECOND);
              }),
          new Case(
              "went_back",
              w -> {
                w.submit(0, TestJobs.job("req-gone", "array", 2));
                w.submit(0, TestJobs.jobAfter("req-after", 2, "req-gone"));
                w.assumeDependency("req-after", "req-web");
                w.cancel(0, "req-gone");
                w.run(10 * SECOND);
              }),
          new Case(
              "forgotten",
              w -> {
                downAll(w);
                w.expectRecovery();
                w.run(80 * SECOND);
              }),
          new Case(
              "left waiting",
              w -> {
                downAll(w);
                w.expectRecovery();
                w.run(110 * SECOND);
              }),
          new Case("accepted", w -> w.submitInvalid(0, TestJobs.job("req-fine", "array", 1), 422)),
          new Case("refused with", w -> w.submitInvalid(0, TestJobs.job("bad", "array", 1), 422)));

  private static void downAll(SimulatedCluster w) {
    for (int i = 0; i < 3; i++) {
      w.kill(i);
    }
  }

  @TestFactory
  Stream<DynamicTest> eachBreachIsCaught() {
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.caught(), () -> play(c)));
  }

  private static void play(Case c) {
    SimulatedCluster w = new SimulatedCluster(3, 7);
    w.startPolling();
    w.run(3 * SECOND);
    w.submit(0, TestJobs.job("req-web", "service", 4));
    w.run(15 * SECOND);
    assertEquals(List.of(), w.violations());
    c.breach().accept(w);
    w.run(SECOND);
    assertTrue(
        w.violations().stream().anyMatch(b -> b.startsWith(c.caught())),
        () -> "only " + w.violations());
  }
}
