package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.app.FaultScenarios.Case;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Faults of machines and of their heartbeats, combined with ownership transfers and cancellations.
 */
class MachineFaultsTest {
  private static final List<Case> CASES =
      List.of(
          new Case(
              "a command or its answer is delayed while the machine keeps running tasks",
              1,
              cluster -> {
                cluster.faults().delayCommands(3 * MICROS_PER_SECOND);
                cluster.machineFaults().freeze(0, true);
                cluster.machineFaults().freeze(1, true);
                cluster.cancel(1, "req-cut");
                cluster.run(5 * MICROS_PER_SECOND);
                cluster.machineFaults().freeze(0, false);
                cluster.run(4 * MICROS_PER_SECOND);
                cluster.machineFaults().freeze(1, false);
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.faults().delayCommands(0);
              }),
          new Case(
              "a heartbeat is delayed until a new owner has acted",
              2,
              cluster -> {
                cluster.machineFaults().captureHeartbeats();
                cluster.kill(0);
                cluster.run(20 * MICROS_PER_SECOND);
                cluster.machineFaults().deliverCapturedHeartbeats(1);
                cluster.machineFaults().deliverCapturedHeartbeats(2);
                cluster.run(3 * MICROS_PER_SECOND);
                cluster.start(0);
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.machineFaults().deliverCapturedHeartbeats(0);
                cluster.run(10 * MICROS_PER_SECOND);
              }),
          new Case(
              "an owner ends while machines are unreachable or get no answers of the new owner",
              3,
              cluster -> {
                cluster.machineFaults().dropResponses(0, true);
                cluster.machineFaults().blockOutbound(1, true);
                cluster.machineFaults().freeze(2, true);
                cluster.kill(0, 1);
                cluster.run(20 * MICROS_PER_SECOND);
                cluster.machineFaults().freeze(2, false);
                cluster.run(5 * MICROS_PER_SECOND);
                cluster.machineFaults().dropResponses(0, false);
                cluster.machineFaults().blockOutbound(1, false);
                cluster.start(0, 1);
                cluster.run(10 * MICROS_PER_SECOND);
              }),
          new Case(
              "a team at its limit, a change of owner, lost heartbeats and a cancellation",
              6,
              cluster -> {
                cluster.taskDuration(15 * MICROS_PER_SECOND);
                cluster.submit(0, TestJobs.job("req-full", "array", 60));
                cluster.run(10 * MICROS_PER_SECOND);
                cluster.machineFaults().freeze(0, true);
                cluster.machineFaults().freeze(1, true);
                cluster.machineFaults().freeze(2, true);
                cluster.kill(1);
                cluster.run(MICROS_PER_SECOND);
                cluster.cancel(0, "req-cut");
                cluster.cancel(2, "req-full");
                cluster.submit(0, TestJobs.job("req-next", "array", 40));
                cluster.run(6 * MICROS_PER_SECOND);
                cluster.machineFaults().freeze(0, false);
                cluster.run(18 * MICROS_PER_SECOND);
                cluster.machineFaults().freeze(1, false);
                cluster.machineFaults().freeze(2, false);
                cluster.start(1);
                cluster.taskDuration(4 * MICROS_PER_SECOND);
              }),
          new Case(
              "more jobs than capacity, urgent and not, over slow links",
              8,
              cluster -> {
                cluster.faults().delayCommands(MICROS_PER_SECOND);
                cluster.faults().delayStateCalls(300_000);
                cluster.submit(0, TestJobs.job("req-bulk", "array", 90));
                cluster.run(5 * MICROS_PER_SECOND);
                for (int i = 0; i < 4; i++) {
                  cluster.submit(i % 3, TestJobs.job("req-web" + i, "service", 2));
                  cluster.submit(i % 3, TestJobs.job("req-gang" + i, "ensemble", 2));
                }
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().delayCommands(0);
                cluster.faults().delayStateCalls(0);
              }),
          new Case(
              "jobs bound to one zone, including arrays, lose machines",
              16,
              cluster -> {
                Map<String, Object> array = TestJobs.job("req-zone1", "array", 12);
                array.put("glade", "b");
                Map<String, Object> service = TestJobs.job("req-webzone", "service", 3);
                service.put("glade", "a");
                service.put("scatter", false);
                Map<String, Object> gang = TestJobs.job("req-zone2", "ensemble", 3);
                gang.put("glade", "b");
                cluster.submit(0, array);
                cluster.submit(1, service);
                cluster.submit(2, gang);
                cluster.run(4 * MICROS_PER_SECOND);
                for (int i = 0; i < 5; i++) {
                  cluster.machineFaults().kill(0);
                }
                cluster.run(5 * MICROS_PER_SECOND);
                cluster.machineFaults().kill(1);
                cluster.machineFaults().kill(1);
              }),
          new Case(
              "heartbeats reach no controller while commands reach the machines",
              17,
              cluster -> {
                for (int i = 0; i < 4; i++) {
                  cluster.machineFaults().blockOutbound(i, true);
                }
                cluster.run(MICROS_PER_SECOND);
                cluster.kill(0);
                cluster.cancel(1, "req-cut");
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.start(0);
                for (int i = 0; i < 4; i++) {
                  cluster.machineFaults().blockOutbound(i, false);
                }
              }),
          new Case(
              "old heartbeats arrive after newer ones, also of earlier sessions and attempts",
              18,
              cluster -> {
                cluster.faults().duplicateHeartbeats(true);
                cluster.machineFaults().captureHeartbeats();
                cluster.machineFaults().dropResponses(0, true);
                cluster.machineFaults().dropResponses(1, true);
                cluster.run(12 * MICROS_PER_SECOND);
                cluster.machineFaults().dropResponses(0, false);
                cluster.machineFaults().dropResponses(1, false);
                cluster.machineFaults().deliverCapturedHeartbeats(0);
                cluster.run(3 * MICROS_PER_SECOND);
                cluster.machineFaults().captureHeartbeats();
                cluster.kill(2);
                cluster.run(17 * MICROS_PER_SECOND);
                cluster.machineFaults().deliverCapturedHeartbeats(0);
                cluster.machineFaults().deliverCapturedHeartbeats(1);
                cluster.start(2);
                cluster.run(5 * MICROS_PER_SECOND);
                cluster.machineFaults().deliverCapturedHeartbeats(2);
                cluster.run(30 * MICROS_PER_SECOND);
                cluster.faults().duplicateHeartbeats(false);
              }));

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndJobsSettle() {
    return FaultScenarios.tests(CASES);
  }

  /** A machine that is unreachable when a kill is decided gets the kill once it is reachable. */
  @Test
  void killsAreRetriedUntilAcknowledged() {
    // given
    SimulatedCluster cluster = FaultScenarios.clusterWithService(31);
    assertEquals(4, FaultScenarios.runningTasks(cluster, "req-web"));
    for (int i = 0; i < cluster.machineCount(); i++) {
      cluster.machineFaults().blockOutbound(i, true);
      cluster.machineFaults().dropResponses(i, true);
    }
    // when
    cluster.cancel(1, "req-web");
    cluster.run(2_500_000);
    for (int i = 0; i < cluster.machineCount(); i++) {
      cluster.machineFaults().dropResponses(i, false);
    }
    // Ends long before the leases of the workers expire, and without any heartbeat.
    cluster.run(2_300_000);
    // then
    assertEquals(Map.of(), cluster.zones("req-web"));
    assertEquals(List.of(), cluster.violations());
  }
}
