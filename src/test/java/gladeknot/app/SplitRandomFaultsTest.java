package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Small values of the state service, so that segments are split again and again as work comes,
 * while the watches of controllers lag by turns, the state service is slow for spells, tasks are
 * claimed, users cancel, and controllers end and return: each task stays in one slice, each slice
 * in one segment, and everything runs or ends afterwards. More seeds: {@code mvn test
 * -Dtest=SplitRandomFaultsTest -Dgladeknot.seeds=FIRST,COUNT}.
 */
class SplitRandomFaultsTest {
  private static final String SEEDS_PROPERTY = "gladeknot.seeds";
  private static final long FIRST_SEED = 1;
  private static final long SEEDS = 36;
  private static final int CONTROLLERS = 3;
  private static final int VALUE_BYTES = 640;
  private static final int STEPS = 80;

  /** Many of these fill the segments. */
  private static final double SMALL_CPUS = 0.02;

  private static final int MOST_SMALL_TASKS = 24;

  /** These wait for room, without a record, and are claimed where there is some. */
  private static final double LARGE_CPUS = 2.5;

  private static final int MOST_LARGE_TASKS = 4;
  private static final int ROUNDS = 30;
  private static final long MIN_STEP = SECOND / 20;
  private static final long MAX_STEP = 13 * SECOND / 20;
  private static final long SLOW_STATE = SECOND / 5;

  private static LongStream seeds() {
    String property = System.getProperty(SEEDS_PROPERTY, "");
    if (property.isEmpty()) {
      return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }
    String[] range = property.split(",");
    long first = Long.parseLong(range[0]);
    return LongStream.range(first, first + Long.parseLong(range[1]));
  }

  @TestFactory
  Stream<DynamicTest> eachTaskStaysInOneSlice() {
    return seeds()
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> new SplitRandomFaultsTest.Run(seed).play()));
  }

  /** One seed. */
  private static final class Run {
    private final SplittableRandom random;
    private final SimulatedCluster cluster;
    private final List<String> jobs = new ArrayList<>();
    private int submitted;

    /** When a controller that has ended returns; 0 for one that is up. */
    private final long[] returnsAt = new long[CONTROLLERS];

    Run(long seed) {
      random = new SplittableRandom(seed);
      cluster =
          new SimulatedCluster(CONTROLLERS, seed, new ClusterScale(12, 0, 300, 150, VALUE_BYTES));
    }

    void play() {
      // given
      cluster.taskDuration(8 * SECOND);
      cluster.run(4 * SECOND);
      // when
      for (int step = 0; step < STEPS; step++) {
        submitSome();
        cancelSome();
        stepWithFaults();
      }
      endFaults();
      settle();
      // then
      assertEquals(List.of(), cluster.violations());
      assertTrue(
          Json.longValue(cluster.state().get("g/format"), "split", 0) > 1, "nothing was split");
      for (String job : jobs) {
        String phase = cluster.phase(job);
        assertEquals("done", phase, job);
      }
    }

    private void submitSome() {
      for (int i = random.nextInt(5); i > 0; i--) {
        String id = "req-job" + submitted++;
        boolean small = random.nextBoolean();
        String shape = shape(small);
        int tasks = 1 + random.nextInt(small ? MOST_SMALL_TASKS : MOST_LARGE_TASKS);
        Map<String, Object> job = TestJobs.job(id, shape, tasks);
        job.put("cores", small ? SMALL_CPUS : LARGE_CPUS);
        job.put("memoryGb", 0.01);
        cluster.submit(random.nextInt(CONTROLLERS), job);
        jobs.add(id);
      }
    }

    /** Gangs are small: large ones would wait for one another, for several machines each. */
    private String shape(boolean small) {
      return List.of("service", "array", "service", small ? "ensemble" : "array")
          .get(random.nextInt(4));
    }

    private void cancelSome() {
      for (int i = random.nextInt(3); i > 0 && !jobs.isEmpty(); i--) {
        String id = jobs.remove(random.nextInt(jobs.size()));
        cluster.cancel(random.nextInt(CONTROLLERS), id);
      }
    }

    private void stepWithFaults() {
      int current = random.nextInt(CONTROLLERS);
      stallOthers(current, true);
      cluster.faults().delayStateCalls(random.nextInt(4) == 0 ? SLOW_STATE : 0);
      int ending = random.nextInt(CONTROLLERS);
      if (random.nextInt(25) == 0 && returnsAt[ending] == 0) {
        cluster.kill(ending);
        returnsAt[ending] = cluster.now() + random.nextLong(SECOND / 5, 6 * SECOND);
      }
      cluster.run(random.nextLong(MIN_STEP, MAX_STEP));
      stallOthers(current, false);
      startWhere(false);
    }

    private void stallOthers(int current, boolean stalled) {
      for (int node = 0; node < CONTROLLERS; node++) {
        if (node != current) {
          cluster.faults().stallWatch(node, stalled);
        }
      }
    }

    private void startWhere(boolean all) {
      for (int node = 0; node < CONTROLLERS; node++) {
        if (returnsAt[node] != 0 && (all || returnsAt[node] <= cluster.now())) {
          cluster.start(node);
          returnsAt[node] = 0;
        }
      }
    }

    private void endFaults() {
      cluster.faults().delayStateCalls(0);
      startWhere(true);
      cluster.taskDuration(2 * SECOND);
      cluster.startPolling();
      cluster.expectRecovery();
    }

    private void settle() {
      for (int i = 0; i < ROUNDS && !settled(); i++) {
        cluster.run(5 * SECOND);
      }
    }

    private boolean settled() {
      return jobs.stream().allMatch(job -> cluster.phase(job).equals("done"));
    }
  }
}
