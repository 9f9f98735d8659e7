package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import gladeknot.standin.TestTeams;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Machines on which tasks fail. Guards against machines that get no task any more, for good, after
 * a job with a mistake or after a fault that is over.
 */
class CordonedMachinesTest {
  private static final int MACHINES = 2;

  /** No job may wait for longer while a machine has room for it. */
  private static final int MAX_WAIT_SECONDS = 90;

  /** Time after which a machine is certainly tried again. */
  private static final int MAX_RECOVERY_SECONDS = 300;

  /** A cluster with two machines, each with a replica that keeps it from being released. */
  private static SimulatedCluster cluster() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            3, 53, ClusterScale.withTeams(MACHINES, 0, TestTeams.team("dev", 0, 0, 0, 0)));
    cluster.run(3 * MICROS_PER_SECOND);
    Map<String, Object> service = TestJobs.job("req-web", "service", MACHINES);
    service.put("cores", 2.0);
    cluster.submit(0, service);
    cluster.run(15 * MICROS_PER_SECOND);
    assertEquals(MACHINES, cluster.hosts("req-web").size());
    return cluster;
  }

  @Test
  void jobWithMistakeLeavesMachinesInUse() {
    SimulatedCluster cluster = cluster();
    cluster.failTasksIf((host, task) -> task.startsWith("req-mistake"));
    cluster.taskDuration(MICROS_PER_SECOND / 2);
    cluster.submit(1, smallTasks("req-mistake", 60));
    cluster.run(12 * MICROS_PER_SECOND);
    cluster.cancel(2, "req-mistake");
    cluster.submit(0, TestJobs.job("req-next", "array", 4));
    cluster.run(MAX_WAIT_SECONDS * MICROS_PER_SECOND);
    assertEquals(4, cluster.doneTasks("req-next"));
    assertEquals(List.of(), cluster.violations());
  }

  @Test
  void machineThatFailsAllTasksIsTriedOneTaskAtATimeAndUsedAgain() {
    SimulatedCluster cluster = cluster();
    Set<String> hosts = cluster.hosts("req-web");
    String faulty = hosts.iterator().next();
    cluster.failTasksIf((host, task) -> host.equals(faulty));
    cluster.taskDuration(MICROS_PER_SECOND / 2);
    int failingSeconds = 120;
    for (int second = 0; second < failingSeconds; second++) {
      cluster.submit(second % 3, smallTasks("req-job" + second, 2));
      cluster.run(MICROS_PER_SECOND);
    }
    cluster.run(20 * MICROS_PER_SECOND);
    int startsBefore = cluster.starts();
    cluster.submit(0, smallTasks("req-during", 40));
    cluster.run(20 * MICROS_PER_SECOND);
    int retries = cluster.starts() - startsBefore - 40;
    assertTrue(retries <= 2, retries + " tasks were tried again within 20 s");

    int[] completed = {0};
    cluster.failTasksIf(
        (host, task) -> {
          completed[0] += host.equals(faulty) ? 1 : 0;
          return false;
        });
    for (int second = 0; second < MAX_RECOVERY_SECONDS; second++) {
      cluster.submit(second % 3, smallTasks("req-after" + second, 20));
      cluster.run(MICROS_PER_SECOND);
    }
    assertTrue(completed[0] > 10, completed[0] + " tasks on the machine after its fault");
    assertEquals(List.of(), cluster.violations());
  }

  private static Map<String, Object> smallTasks(String id, int tasks) {
    Map<String, Object> job = TestJobs.job(id, "array", tasks);
    job.put("cores", 0.25);
    job.put("memoryGb", 0.5);
    return job;
  }
}
