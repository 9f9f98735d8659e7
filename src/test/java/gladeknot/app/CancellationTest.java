package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Cancellations around a job's first start and around its end. */
class CancellationTest {
  /**
   * Jobs that are cancelled at various times around their first start leave no records and cause no
   * further writes.
   */
  @Test
  void jobsCancelledAroundFirstStartLeaveNoRecords() {
    // given
    SimulatedCluster cluster = FaultScenarios.clusterWithService(37);
    cluster.faults().delayStateCalls(150_000);
    // when
    for (int i = 0; i < 40; i++) {
      String id = "req-early" + i;
      cluster.submit(i % 3, TestJobs.job(id, "array", 4));
      while (cluster.phase(id).isEmpty()) {
        cluster.run(10_000);
      }
      cluster.run(i * 40_000L);
      cluster.cancel((i + 1) % 3, id);
      cluster.run(300_000);
    }
    cluster.faults().delayStateCalls(0);
    cluster.run(30 * MICROS_PER_SECOND);
    // then
    int before = cluster.state().commits();
    cluster.run(10 * MICROS_PER_SECOND);
    assertTrue(
        cluster.state().commits() - before < 10,
        (cluster.state().commits() - before) + " commits in 10 s");
    for (String key : cluster.state().keys("g/sl/")) {
      for (String id : cluster.state().get(key).keySet()) {
        assertEquals("req-web", id, key);
      }
    }
    assertEquals(List.of(), cluster.violations());
  }

  /**
   * A cancellation, a poll or a repeated submission that races with the end of a job's last task
   * has the same outcome on all controllers.
   */
  @Test
  void requestsRacingWithJobEndHaveOneOutcome() {
    for (int offset = 0; offset < 16; offset++) {
      // given
      SimulatedCluster cluster = new SimulatedCluster(3, 40 + offset);
      cluster.startPolling();
      cluster.run(3 * MICROS_PER_SECOND);
      cluster.submit(0, TestJobs.job("req-end", "array", 2));
      while (cluster.doneTasks("req-end") < 1) {
        cluster.run(10_000);
      }
      cluster.faults().loseCommitAnswers(offset % 4 == 3 ? 1 : 0);
      cluster.faults().delayLostCommits(offset % 8 == 7 ? 4 * MICROS_PER_SECOND : 0);
      cluster.run(offset * 60_000L);
      // when
      cluster.cancel(offset % 3, "req-end");
      cluster.request(
          (offset + 1) % 3,
          "POST",
          "/work",
          TestJobs.job("req-end", "array", 2),
          answer -> {
            assertTrue(
                answer.status() == 200 || answer.status() == 503,
                "status of the repeated submission: " + answer.status());
          });
      cluster.poll((offset + 2) % 3, "req-end");
      cluster.run(20 * MICROS_PER_SECOND);
      for (int i = 0; i < 3; i++) {
        cluster.poll(i, "req-end");
      }
      cluster.run(MICROS_PER_SECOND);
      // then
      assertEquals(List.of(), cluster.violations());
      String phase = cluster.phase("req-end");
      assertTrue(List.of("done", "withdrawn").contains(phase), phase);
    }
  }
}
