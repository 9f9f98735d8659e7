package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import gladeknot.standin.TestTeams;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.function.Executable;

/**
 * Guards against accepted jobs that never start because a name from the settings does not fit a key
 * of the state service.
 *
 * <p>Failure: the jobs of a team called "data lab" were accepted and never started, and jobs of
 * other teams were held up.
 *
 * <p>Cause: the team's name was part of a key as it is. The state service refuses keys with spaces,
 * and the refused transaction was repeated for ever.
 */
class NamesTest {
  private static final int CONTROLLERS = 3;

  private static final List<String> NAMES =
      List.of(
          "dev",
          "data lab",
          " ",
          "tab\tand\u00a0no-break space",
          "équipe d'été",
          "a/b",
          "50% & more?#+=",
          "one|two|3",
          "x".repeat(193),
          "x".repeat(194),
          "name with spaces ".repeat(12),
          "日本".repeat(100));

  @TestFactory
  Stream<DynamicTest> jobsOfTeamWithAnyNameRun() {
    return NAMES.stream().map(name -> test(name, () -> runWithNames(name, "node-")));
  }

  @TestFactory
  Stream<DynamicTest> jobsRunOnControllersWithAnyName() {
    return NAMES.stream().map(name -> test(name, () -> runWithNames("dev", name + "-")));
  }

  private static DynamicTest test(String name, Executable run) {
    return DynamicTest.dynamicTest("'" + name + "'", run);
  }

  /** Jobs of the named team and of another one run, also after all shards have a new owner. */
  private static void runWithNames(String team, String nodePrefix) {
    // given
    ClusterScale scale =
        ClusterScale.withTeams(
            12,
            0,
            TestTeams.team(team, 8_000, 12_000, 0, 0),
            TestTeams.team("other", 8_000, 12_000, 0, 0));
    SimulatedCluster cluster =
        new SimulatedCluster(CONTROLLERS, 61, scale.withNodePrefix(nodePrefix));
    cluster.run(3 * MICROS_PER_SECOND);
    // when
    cluster.submit(0, jobOf(team, "req-named"));
    cluster.submit(1, jobOf("other", "req-other"));
    cluster.run(30 * MICROS_PER_SECOND);
    cluster.kill(0);
    cluster.run(MICROS_PER_SECOND / 2);
    cluster.start(0);
    cluster.kill(1);
    cluster.run(20 * MICROS_PER_SECOND);
    cluster.submit(0, jobOf(team, "req-late"));
    cluster.start(1);
    cluster.startPolling();
    cluster.run(60 * MICROS_PER_SECOND);
    // then
    assertEquals(List.of(), cluster.violations());
    for (String job : cluster.jobs()) {
      assertEquals("done", cluster.phase(job), job);
    }
  }

  private static Map<String, Object> jobOf(String team, String id) {
    Map<String, Object> job = TestJobs.job(id, "array", 24);
    job.put("owner", team);
    return job;
  }
}
