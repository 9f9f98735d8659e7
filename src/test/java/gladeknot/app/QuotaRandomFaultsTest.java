package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.common.primitives.Longs;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.RandomFaults;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import gladeknot.standin.TestSeeds;
import gladeknot.standin.TestTeams;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Random overlapping faults, drawn from a seed, with three teams at their CPU and GPU limits, quota
 * transfers between shards, and users that submit and cancel. No invariant may be violated, and
 * after the faults every job must run or end. For more seeds: {@code mvn test
 * -Dtest=QuotaRandomFaultsTest -Dgladeknot.seeds=FIRST,COUNT}.
 */
class QuotaRandomFaultsTest {
  private static final long FIRST_SEED = 1;
  private static final long SEED_COUNT = 16;

  /** Guard against services without GPUs for which no machine is rented beside one with GPUs. */
  private static final long[] SEEDS_WITH_LOST_SERVICES = {141, 329};

  private static final int CONTROLLERS = 3;
  private static final int FAULT_SECONDS = 90;
  private static final int MAX_SETTLE_ROUNDS = 30;

  private static final ClusterScale SCALE =
      ClusterScale.withTeams(
          24,
          2,
          TestTeams.team("dev", 8_000, 24_000, 0, 0),
          TestTeams.team("ops", 6_000, 18_000, 2_000, 6_000),
          TestTeams.team("lab", 4_000, 0, 4_000, 8_000));

  private static LongStream seeds() {
    long[] random = TestSeeds.range(FIRST_SEED, SEED_COUNT);
    return TestSeeds.selected(Longs.concat(random, SEEDS_WITH_LOST_SERVICES));
  }

  @TestFactory
  Stream<DynamicTest> invariantsHoldAndAllJobsSettle() {
    return seeds().mapToObj(seed -> DynamicTest.dynamicTest("seed " + seed, () -> runSeed(seed)));
  }

  private static void runSeed(long seed) {
    // given
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedCluster cluster = new SimulatedCluster(CONTROLLERS, seed, SCALE);
    cluster.startPolling();
    cluster.run(3 * MICROS_PER_SECOND);
    List<String> arrays = new ArrayList<>();
    submitArrays(cluster, arrays, 12, random);
    cluster.submit(0, job("req-web1", "service", 4, "dev", 0));
    cluster.submit(1, job("req-web2", "service", 2, "lab", 1));
    cluster.submit(2, job("req-gang", "ensemble", 3, "ops", 1));
    cluster.run(20 * MICROS_PER_SECOND);
    // when
    RandomFaults faults = new RandomFaults(cluster, CONTROLLERS, seed);
    for (int second = 0; second < FAULT_SECONDS; second++) {
      faults.step();
      cluster.taskDuration((2 + random.nextInt(20)) * MICROS_PER_SECOND);
      if (second % 6 == 0) {
        submitArrays(cluster, arrays, 2, random);
      }
      if (random.nextInt(5) == 0) {
        cluster.cancel(random.nextInt(CONTROLLERS), arrays.get(random.nextInt(arrays.size())));
      }
      cluster.run(MICROS_PER_SECOND / 2 + random.nextLong(MICROS_PER_SECOND));
    }
    faults.endAll();
    cluster.taskDuration(4 * MICROS_PER_SECOND);
    cluster.expectRecovery();
    for (int i = 0; i < MAX_SETTLE_ROUNDS && !settled(cluster, arrays); i++) {
      cluster.run(10 * MICROS_PER_SECOND);
    }
    cluster.run(20 * MICROS_PER_SECOND);
    // then
    assertEquals(List.of(), cluster.violations(), () -> faults.schedule().toString());
    for (String array : arrays) {
      String phase = cluster.phase(array);
      assertEquals(phase.equals("withdrawn") ? phase : "done", phase, array);
    }
    assertEquals("running", cluster.phase("req-web1"));
    assertEquals("running", cluster.phase("req-web2"));
    assertEquals("done", cluster.phase("req-gang"));
  }

  private static boolean settled(SimulatedCluster cluster, List<String> arrays) {
    return cluster.phase("req-gang").equals("done")
        && arrays.stream()
            .map(cluster::phase)
            .allMatch(phase -> phase.equals("done") || phase.equals("withdrawn"));
  }

  private static void submitArrays(
      SimulatedCluster cluster, List<String> arrays, int count, SplittableRandom random) {
    for (int i = 0; i < count; i++) {
      String id = "req-array" + arrays.size();
      String team = List.of("dev", "ops", "lab").get(random.nextInt(3));
      int gpus = team.equals("dev") ? 0 : random.nextInt(2);
      cluster.submit(
          random.nextInt(CONTROLLERS), job(id, "array", 2 + random.nextInt(10), team, gpus));
      arrays.add(id);
    }
  }

  private static Map<String, Object> job(
      String id, String shape, int tasks, String team, int gpus) {
    Map<String, Object> job = TestJobs.job(id, shape, tasks);
    job.put("owner", team);
    job.put("accelerators", (double) gpus);
    return job;
  }
}
