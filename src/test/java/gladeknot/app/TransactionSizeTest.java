package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Transactions and values stay within the size limits of the state service. */
class TransactionSizeTest {
  /** A claim of tasks in a full segment must not grow that segment beyond the value limit. */
  @Test
  void claimsDoNotOverfillSegments() {
    // given
    SimulatedCluster cluster =
        new SimulatedCluster(3, 38, new ClusterScale(30, 120_000, 300, 150, 1400));
    cluster.taskDuration(9 * MICROS_PER_SECOND);
    cluster.run(3 * MICROS_PER_SECOND);
    for (int i = 0; i < 60; i++) {
      cluster.submit(i % 3, TestJobs.job("req-some" + i, "array", 7));
      cluster.run(i % 10 == 0 ? 2 * MICROS_PER_SECOND : 100_000);
    }
    // when
    cluster.kill(0);
    cluster.run(25 * MICROS_PER_SECOND);
    cluster.start(0);
    cluster.startPolling();
    cluster.run(MICROS_PER_SECOND);
    cluster.expectRecovery();
    cluster.run(200 * MICROS_PER_SECOND);
    // then
    assertEquals(0, cluster.state().rejectedForSize());
    assertEquals(List.of(), cluster.violations());
    for (String id : cluster.jobs()) {
      assertEquals("done", cluster.phase(id), id);
    }
  }

  /** Many tasks start at once after an outage; transactions must stay within the size limit. */
  @Test
  void transactionsStayWithinSizeLimitAfterOutage() {
    // given
    SimulatedCluster cluster = new SimulatedCluster(3, 33, new ClusterScale(90, 360_000, 300, 150));
    cluster.taskDuration(300 * MICROS_PER_SECOND);
    cluster.run(3 * MICROS_PER_SECOND);
    for (int i = 0; i < 300; i++) {
      cluster.submit(i % 3, TestJobs.job("req-one" + i, "array", 1));
    }
    cluster.run(25 * MICROS_PER_SECOND);
    // when
    cluster.faults().stateOutage(true);
    cluster.run(40 * MICROS_PER_SECOND);
    cluster.faults().stateOutage(false);
    cluster.faults().delayStateCalls(800_000);
    cluster.run(40 * MICROS_PER_SECOND);
    // then
    assertEquals(0, cluster.state().rejectedForSize());
    assertTrue(cluster.tasksOnMachines() > 250, "tasks on machines: " + cluster.tasksOnMachines());
    assertEquals(List.of(), cluster.violations());
  }
}
