package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Behaviour under load: no starvation, and the cost per task does not grow with the fleet. */
class LoadTest {
  /** Below half of the heartbeat interval, for which a start would wait on average otherwise. */
  private static final long MAX_WAIT = 450_000;

  @Test
  void theLargestBeginHoweverMuchSmallWorkComes() {
    SimulatedCluster cluster = new SimulatedCluster(3, 31);
    cluster.run(3 * SECOND);
    int submitted = 0;
    // More than the team's limit lets run: 24 tasks at once of 6 s, and 6 tasks come each second.
    for (int second = 0; second < 15; second++) {
      cluster.submit(submitted % 3, TestJobs.job("req-small-" + submitted++, "array", 6));
      cluster.run(SECOND);
    }
    cluster.submit(0, TestJobs.job("req-large", "array", 60));
    cluster.submit(1, TestJobs.job("req-gang", "ensemble", 3));
    for (int second = 0; second < 235; second++) {
      cluster.submit(submitted % 3, TestJobs.job("req-small-" + submitted++, "array", 6));
      cluster.run(SECOND);
    }
    assertTrue(cluster.doneTasks("req-large") > 0);
    assertEquals(3, cluster.doneTasks("req-gang"));
    assertEquals(List.of(), cluster.violations());
  }

  /**
   * Start commands are sent in heartbeat responses only: the response to an idle machine is held
   * long enough for a start that is decided meanwhile, so that urgent work need not wait for the
   * next heartbeat.
   */
  @Test
  void startsReachMachinesThatHaveNothingToDoBeforeTheirNextReport() {
    SimulatedCluster cluster = new SimulatedCluster(3, 33);
    cluster.run(3 * SimulatedCluster.SECOND);
    // Machines of the ordinary kind, empty when the others come.
    cluster.submit(0, TestJobs.job("req-gone", "service", 20));
    cluster.run(10 * SimulatedCluster.SECOND);
    cluster.cancel(0, "req-gone");
    cluster.run(4 * SimulatedCluster.SECOND);
    long waited = 0;
    int jobs = 12;
    for (int i = 0; i < jobs; i++) {
      String id = "req-web-" + i;
      cluster.submit(i % 3, TestJobs.job(id, "service", 1));
      while (cluster.zones(id).isEmpty()) {
        cluster.run(SimulatedCluster.SECOND / 50);
        waited += SimulatedCluster.SECOND / 50;
      }
      cluster.run(SimulatedCluster.SECOND / 3);
    }
    assertTrue(waited / jobs < MAX_WAIT, waited / jobs + " us from submission to start");
    assertEquals(List.of(), cluster.violations());
  }

  @Test
  void writesForEachTaskDoNotGrowWithTheFleet() {
    double small = writesForEachTask(12);
    double large = writesForEachTask(120);
    assertTrue(large <= small, small + " then " + large);
    // Far from a write for each start and each end.
    assertTrue(large < 0.7, large + " writes for each task");
  }

  /**
   * No limit stands below the largest fleets: each machine gets a task that fills it, which takes
   * more space than the first layout of the records has, and keeps it while all controllers end.
   */
  @Test
  void fourThousandMachinesAreRentedAndUsed() {
    int machines = 4200;
    SimulatedCluster cluster = new SimulatedCluster(5, 34, new ClusterScale(machines, 0, 400, 200));
    cluster.run(3 * SECOND);
    for (int i = 0; i < 6; i++) {
      var job = TestJobs.job("req-web-" + i, "service", machines / 6);
      job.put("cores", 4.0);
      job.put("scatter", false);
      cluster.submit(i % 5, job);
    }
    cluster.run(27 * SECOND);
    int before = cluster.tasksOnMachines();
    assertTrue(before > 4000, before + " tasks on machines");
    for (int i = 0; i < 5; i++) {
      cluster.kill(i);
    }
    cluster.run(2 * SECOND);
    for (int i = 0; i < 5; i++) {
      cluster.start(i);
    }
    cluster.run(12 * SECOND);
    assertTrue(
        cluster.tasksOnMachines() >= before, cluster.tasksOnMachines() + " of " + before + " left");
    assertEquals(List.of(), cluster.violations());
  }

  private static double writesForEachTask(int machines) {
    SimulatedCluster cluster =
        new SimulatedCluster(3, 32, new ClusterScale(machines, machines * 4000L, 300, 60));
    cluster.run(3 * SECOND);
    List<String> jobs = new ArrayList<>();
    int tasks = machines * 4;
    for (int i = 0; i < 5; i++) {
      String id = "req-batch-" + i;
      jobs.add(id);
      cluster.submit(i % 3, TestJobs.job(id, "array", tasks));
    }
    long before = cluster.state().writes();
    cluster.run(90 * SECOND);
    for (String id : jobs) {
      cluster.poll(0, id);
    }
    cluster.run(SECOND);
    for (String id : jobs) {
      assertEquals("done", cluster.phase(id));
    }
    assertEquals(List.of(), cluster.violations());
    return (cluster.state().writes() - before) / (double) (5 * tasks);
  }
}
