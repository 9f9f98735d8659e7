package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that no job starves under load and that the cost per task does not grow with the number of
 * machines.
 */
class LoadTest {
  /**
   * Maximum average time from submission to start. It is below half of the heartbeat interval,
   * which is the average wait for the next heartbeat.
   */
  private static final long MAX_WAIT_MICROS = 450_000;

  @Test
  void largeJobsStartUnderConstantSmallJobs() {
    SimulatedCluster cluster = new SimulatedCluster(3, 31);
    cluster.run(3 * MICROS_PER_SECOND);
    int submitted = 0;
    // The team's limit is 24 concurrent tasks of 6 s, 4 per second; 6 per second are submitted.
    for (int second = 0; second < 15; second++) {
      cluster.submit(submitted % 3, TestJobs.job("req-small-" + submitted++, "array", 6));
      cluster.run(MICROS_PER_SECOND);
    }
    cluster.submit(0, TestJobs.job("req-large", "array", 60));
    cluster.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    for (int second = 0; second < 235; second++) {
      cluster.submit(submitted % 3, TestJobs.job("req-small-" + submitted++, "array", 6));
      cluster.run(MICROS_PER_SECOND);
    }
    assertTrue(cluster.doneTasks("req-large") > 0);
    assertEquals(3, cluster.doneTasks("req-gang"));
    assertEquals(List.of(), cluster.violations());
  }

  /**
   * Start commands are sent in heartbeat responses only. The response to an idle machine is held
   * long enough for a start that is decided meanwhile, so that urgent jobs need not wait for the
   * next heartbeat.
   */
  @Test
  void startsReachIdleMachinesBeforeNextHeartbeat() {
    SimulatedCluster cluster = new SimulatedCluster(3, 33);
    cluster.run(3 * SimulatedCluster.MICROS_PER_SECOND);
    // Leaves idle on-demand machines for the jobs that follow.
    cluster.submit(0, TestJobs.job("req-gone", "service", 20));
    cluster.run(10 * SimulatedCluster.MICROS_PER_SECOND);
    cluster.cancel(0, "req-gone");
    cluster.run(4 * SimulatedCluster.MICROS_PER_SECOND);
    long waitedMicros = 0;
    int jobs = 12;
    for (int i = 0; i < jobs; i++) {
      String id = "req-web-" + i;
      cluster.submit(i % 3, TestJobs.job(id, "service", 1));
      while (cluster.zones(id).isEmpty()) {
        cluster.run(SimulatedCluster.MICROS_PER_SECOND / 50);
        waitedMicros += SimulatedCluster.MICROS_PER_SECOND / 50;
      }
      cluster.run(SimulatedCluster.MICROS_PER_SECOND / 3);
    }
    assertTrue(
        waitedMicros / jobs < MAX_WAIT_MICROS,
        waitedMicros / jobs + " us from submission to start");
    assertEquals(List.of(), cluster.violations());
  }

  @Test
  void writesPerTaskDoNotGrowWithMachineCount() {
    double small = writesPerTask(12);
    double large = writesPerTask(120);
    assertTrue(large <= small, small + " writes per task on 12 machines, on 120: " + large);
    // One write per start and one per end would be two writes per task.
    assertTrue(large < 0.7, large + " writes per task");
  }

  /**
   * No internal limit is too low for the largest clusters. Each machine gets a task that fills it,
   * so the records need more space than their first layout has. The tasks survive a restart of all
   * controllers.
   */
  @Test
  void fourThousandMachinesAreRentedAndUsed() {
    int machines = 4200;
    SimulatedCluster cluster = new SimulatedCluster(5, 34, new ClusterScale(machines, 0, 400, 200));
    cluster.run(3 * MICROS_PER_SECOND);
    for (int i = 0; i < 6; i++) {
      var job = TestJobs.job("req-web-" + i, "service", machines / 6);
      job.put("cores", 4.0);
      job.put("scatter", false);
      cluster.submit(i % 5, job);
    }
    cluster.run(27 * MICROS_PER_SECOND);
    int before = cluster.tasksOnMachines();
    assertTrue(before > 4000, before + " tasks on machines");
    for (int i = 0; i < 5; i++) {
      cluster.kill(i);
    }
    cluster.run(2 * MICROS_PER_SECOND);
    for (int i = 0; i < 5; i++) {
      cluster.start(i);
    }
    cluster.run(12 * MICROS_PER_SECOND);
    assertTrue(
        cluster.tasksOnMachines() >= before,
        cluster.tasksOnMachines() + " of " + before + " tasks left");
    assertEquals(List.of(), cluster.violations());
  }

  private static double writesPerTask(int machines) {
    SimulatedCluster cluster =
        new SimulatedCluster(3, 32, new ClusterScale(machines, machines * 4000L, 300, 60));
    cluster.run(3 * MICROS_PER_SECOND);
    List<String> jobs = new ArrayList<>();
    int tasks = machines * 4;
    for (int i = 0; i < 5; i++) {
      String id = "req-batch-" + i;
      jobs.add(id);
      cluster.submit(i % 3, TestJobs.job(id, "array", tasks));
    }
    long before = cluster.state().writes();
    cluster.run(90 * MICROS_PER_SECOND);
    for (String id : jobs) {
      cluster.poll(0, id);
    }
    cluster.run(MICROS_PER_SECOND);
    for (String id : jobs) {
      assertEquals("done", cluster.phase(id));
    }
    assertEquals(List.of(), cluster.violations());
    return (cluster.state().writes() - before) / (double) (5 * tasks);
  }
}
