package gladeknot.app;

import static gladeknot.standin.ClusterSettings.LEASE_MICROS;
import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tasks on reclaimed spot machines restart elsewhere without waiting for their leases. */
class SpotReclaimsTest {
  private static final int TASKS = 16;

  /** Tasks that can't end before the reclaim leave at once; a gang leaves at the last moment. */
  @ParameterizedTest
  @CsvSource({"array, 60, 6", "ensemble, 60, 14"})
  void tasksLeaveBeforeMachineIsReclaimed(String shape, int runSeconds, int leaveWithinSeconds) {
    SimulatedCluster cluster = new SimulatedCluster(3, 51);
    cluster.taskDuration(runSeconds * MICROS_PER_SECOND);
    cluster.run(3 * MICROS_PER_SECOND);
    int tasks = shape.equals("array") ? TASKS : 3;
    var job = TestJobs.job("req-long", shape, tasks);
    job.put("guessS", (double) runSeconds);
    job.put("dueS", null);
    cluster.submit(0, job);
    cluster.run(15 * MICROS_PER_SECOND);
    assertEquals(tasks, cluster.tasksOnMachines());
    String host = cluster.hosts("req-long").iterator().next();
    cluster.machineFaults().reclaim(host, 12 * MICROS_PER_SECOND);
    cluster.run(leaveWithinSeconds * MICROS_PER_SECOND);
    assertTrue(!cluster.hosts("req-long").contains(host), "still on " + host);
    cluster.run(LEASE_MICROS / 2);
    assertEquals(tasks, cluster.tasksOnMachines());
    cluster.run(60 * MICROS_PER_SECOND);
    assertEquals(List.of(), cluster.violations());
  }
}
