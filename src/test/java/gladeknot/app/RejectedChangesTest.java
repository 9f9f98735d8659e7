package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import gladeknot.standin.TestTeams;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a write that the state service refuses for good and that is repeated for ever,
 * together with the writes of other teams and users.
 *
 * <p>Failure: while the record of one team was refused, the jobs of another team were not done.
 */
class RejectedChangesTest {
  private static final int CONTROLLERS = 3;

  /** Refused transactions that isolating one faulty write may take on all controllers. */
  private static final int MAX_REFUSALS = 20;

  @Test
  void refusedTeamRecordHoldsUpNoOtherTeam() {
    // given
    SimulatedCluster cluster =
        new SimulatedCluster(
            CONTROLLERS,
            62,
            ClusterScale.withTeams(
                12,
                0,
                TestTeams.team("dev", 8_000, 24_000, 0, 0),
                TestTeams.team("faulty", 8_000, 24_000, 0, 0)));
    cluster.state().refuseKeys("g/team/faulty"::equals);
    cluster.run(3 * MICROS_PER_SECOND);
    // when
    for (int i = 0; i < 10; i++) {
      cluster.submit(i % CONTROLLERS, TestJobs.job("req-some" + i, "array", 8));
    }
    cluster.startPolling();
    cluster.run(90 * MICROS_PER_SECOND);
    // then
    assertEquals(List.of(), cluster.violations());
    for (String job : cluster.jobs()) {
      assertEquals("done", cluster.phase(job), job);
    }
    assertFewRefusals(cluster);
  }

  @Test
  void refusedSubmissionHoldsUpNoOtherUser() {
    // given
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, 63);
    cluster.state().refuseKeys("g/job/req-faulty"::equals);
    cluster.run(5 * MICROS_PER_SECOND);
    cluster.faults().delayStateCalls(300_000);
    // when
    for (int i = 0; i < 10; i++) {
      cluster.submit(0, TestJobs.job("req-some" + i, "array", 1));
      if (i % 3 == 0) {
        cluster.submitInvalid(0, TestJobs.job("req-faulty", "array", 1), 400);
      }
    }
    cluster.run(10 * MICROS_PER_SECOND);
    // then
    for (String job : cluster.jobs()) {
      assertTrue(!cluster.phase(job).isEmpty(), job + " is not accepted");
    }
    assertEquals(List.of(), cluster.violations());
    assertFewRefusals(cluster);
  }

  /** A record that is refused stays refused: the jobs that depend on nothing of it still end. */
  @Test
  void refusedSegmentHoldsUpNoOtherSegment() {
    // given
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, 64);
    cluster.run(12 * MICROS_PER_SECOND);
    cluster.state().refuseKeys(key -> key.startsWith("g/sl/0/a16-3"));
    // when
    for (int i = 0; i < 12; i++) {
      cluster.submit(i % CONTROLLERS, TestJobs.job("req-some" + i, "array", 3));
    }
    cluster.startPolling();
    cluster.run(60 * MICROS_PER_SECOND);
    // then
    assertEquals(List.of(), cluster.violations());
    long done = cluster.jobs().stream().filter(job -> cluster.phase(job).equals("done")).count();
    assertTrue(done >= 8, done + " of 12 jobs are done");
  }

  private static void assertFewRefusals(SimulatedCluster cluster) {
    int refusals = cluster.state().rejectedForKeys();
    assertTrue(refusals > 0 && refusals <= MAX_REFUSALS, refusals + " refused transactions");
  }
}
