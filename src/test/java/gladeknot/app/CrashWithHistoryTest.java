package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.jobs.JobRecordCodec;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a crash of all controllers that none recovers from, because their lists of all
 * keys use up the state service's request rate and each refusal makes them list anew.
 */
class CrashWithHistoryTest {
  /** The most controllers of the operators' deployments. */
  private static final int CONTROLLERS = 5;

  /** Three days of 27.3 jobs a minute, of the deployment with the fewest requests per second. */
  private static final int FINISHED_JOBS = 3 * 39_300;

  private static final double STATE_RPS = 100;
  private static final double WRITE_RPS = 15;

  /** A job that is not answered for this long after a fault counts as forgotten. */
  private static final int FORGOTTEN_SECONDS = 75;

  private static final int RESTART_SECONDS = 6;

  @Test
  void allControllersAnswerAfterCrashOfAll() {
    SimulatedCluster cluster =
        new SimulatedCluster(
            CONTROLLERS, 46, new ClusterScale(12, ClusterScale.TEAM_CPUS, STATE_RPS, WRITE_RPS));
    cluster.enforceStateLimits();
    for (int i = 0; i < FINISHED_JOBS; i++) {
      cluster.state().preset("g/job/req-" + i, JobRecordCodec.encodeDone(3, 1_000_000L + i));
    }
    cluster.run(FORGOTTEN_SECONDS * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-service", "service", 2));
    cluster.run(10 * MICROS_PER_SECOND);
    assertEquals("running", phaseOf(cluster, "req-service"));

    int[] all = IntStream.range(0, CONTROLLERS).toArray();
    cluster.kill(all);
    cluster.run(RESTART_SECONDS * MICROS_PER_SECOND);
    cluster.start(all);

    Set<Integer> answering = new HashSet<>();
    for (int second = 0; second < FORGOTTEN_SECONDS && answering.size() < all.length; second++) {
      cluster.run(MICROS_PER_SECOND);
      for (int node : all) {
        ask(cluster, node, "req-service", answering);
      }
    }
    assertEquals(CONTROLLERS, answering.size(), "controllers that answer polls");
    assertEquals(List.of(), cluster.violations());
  }

  private static String phaseOf(SimulatedCluster cluster, String job) {
    cluster.poll(0, job);
    cluster.run(MICROS_PER_SECOND);
    return cluster.phase(job);
  }

  private static void ask(SimulatedCluster cluster, int node, String job, Set<Integer> answering) {
    cluster.request(
        node,
        "GET",
        "/work/" + job,
        null,
        answer -> {
          if (answer.status() == 200) {
            answering.add(node);
          }
        });
  }
}
