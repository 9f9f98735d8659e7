package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import gladeknot.standin.TestSeeds;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Random faults during repeated segment splits, which a low value size limit of the state service
 * causes. Watches of controllers lag in turn, the state service is slow at times, tasks are
 * claimed, users cancel jobs, and controllers end and return. Each task must stay in one slice and
 * each slice in one segment, and every job must end afterwards. For more seeds: {@code mvn test
 * -Dtest=SplitRandomFaultsTest -Dgladeknot.seeds=FIRST,COUNT}.
 */
class SplitRandomFaultsTest {
  private static final long FIRST_SEED = 1;
  private static final long SEED_COUNT = 36;
  private static final int CONTROLLERS = 3;
  private static final int VALUE_BYTES = 640;
  private static final int STEPS = 80;

  /** CPUs of a small task; many small tasks fill the segments. */
  private static final double SMALL_CPUS = 0.02;

  private static final int MAX_SMALL_TASKS = 24;

  /**
   * CPUs of a large task. Large tasks are pending without a record until a shard that has capacity
   * claims them.
   */
  private static final double LARGE_CPUS = 2.5;

  private static final int MAX_LARGE_TASKS = 4;
  private static final int MAX_SETTLE_ROUNDS = 30;
  private static final long MIN_STEP_MICROS = MICROS_PER_SECOND / 20;
  private static final long MAX_STEP_MICROS = 13 * MICROS_PER_SECOND / 20;
  private static final long STATE_DELAY_MICROS = MICROS_PER_SECOND / 5;

  @TestFactory
  Stream<DynamicTest> eachTaskStaysInOneSlice() {
    return TestSeeds.selected(TestSeeds.range(FIRST_SEED, SEED_COUNT))
        .mapToObj(
            seed ->
                DynamicTest.dynamicTest(
                    "seed " + seed, () -> new SplitRandomFaultsTest.Run(seed).execute()));
  }

  /** One run with one seed. */
  private static final class Run {
    private final SplittableRandom random;
    private final SimulatedCluster cluster;
    private final List<String> jobs = new ArrayList<>();
    private int submitted;

    /** Time when each ended controller returns, in microseconds; 0 for a running controller. */
    private final long[] returnMicros = new long[CONTROLLERS];

    Run(long seed) {
      random = new SplittableRandom(seed);
      cluster =
          new SimulatedCluster(CONTROLLERS, seed, new ClusterScale(12, 0, 300, 150, VALUE_BYTES));
    }

    void execute() {
      // given
      cluster.taskDuration(8 * MICROS_PER_SECOND);
      cluster.run(4 * MICROS_PER_SECOND);
      // when
      for (int step = 0; step < STEPS; step++) {
        submitRandomJobs();
        cancelRandomJobs();
        stepWithFaults();
      }
      endFaults();
      settle();
      // then
      assertEquals(List.of(), cluster.violations());
      assertTrue(
          Json.longValue(cluster.state().get("g/format"), "split", 0) > 1,
          () -> "no segment was split: " + cluster.state().get("g/format"));
      for (String job : jobs) {
        String phase = cluster.phase(job);
        assertEquals("done", phase, job);
      }
    }

    private void submitRandomJobs() {
      for (int i = random.nextInt(5); i > 0; i--) {
        String id = "req-job" + submitted++;
        boolean small = random.nextBoolean();
        String shape = shape(small);
        int tasks = 1 + random.nextInt(small ? MAX_SMALL_TASKS : MAX_LARGE_TASKS);
        Map<String, Object> job = TestJobs.job(id, shape, tasks);
        job.put("cores", small ? SMALL_CPUS : LARGE_CPUS);
        job.put("memoryGb", 0.01);
        cluster.submit(random.nextInt(CONTROLLERS), job);
        jobs.add(id);
      }
    }

    /**
     * Returns a random shape. Only small tasks form gangs: gangs of large tasks would need several
     * machines each and wait for each other.
     */
    private String shape(boolean small) {
      return List.of("service", "array", "service", small ? "ensemble" : "array")
          .get(random.nextInt(4));
    }

    private void cancelRandomJobs() {
      for (int i = random.nextInt(3); i > 0 && !jobs.isEmpty(); i--) {
        String id = jobs.remove(random.nextInt(jobs.size()));
        cluster.cancel(random.nextInt(CONTROLLERS), id);
      }
    }

    private void stepWithFaults() {
      int current = random.nextInt(CONTROLLERS);
      stallWatchesExcept(current, true);
      cluster.faults().delayStateCalls(random.nextInt(4) == 0 ? STATE_DELAY_MICROS : 0);
      int ending = random.nextInt(CONTROLLERS);
      if (random.nextInt(25) == 0 && returnMicros[ending] == 0) {
        cluster.kill(ending);
        returnMicros[ending] =
            cluster.now() + random.nextLong(MICROS_PER_SECOND / 5, 6 * MICROS_PER_SECOND);
      }
      cluster.run(random.nextLong(MIN_STEP_MICROS, MAX_STEP_MICROS));
      stallWatchesExcept(current, false);
      startEndedControllers(false);
    }

    private void stallWatchesExcept(int current, boolean stalled) {
      for (int node = 0; node < CONTROLLERS; node++) {
        if (node != current) {
          cluster.faults().stallWatch(node, stalled);
        }
      }
    }

    private void startEndedControllers(boolean all) {
      for (int node = 0; node < CONTROLLERS; node++) {
        if (returnMicros[node] != 0 && (all || returnMicros[node] <= cluster.now())) {
          cluster.start(node);
          returnMicros[node] = 0;
        }
      }
    }

    private void endFaults() {
      cluster.faults().delayStateCalls(0);
      startEndedControllers(true);
      cluster.taskDuration(2 * MICROS_PER_SECOND);
      cluster.startPolling();
      cluster.expectRecovery();
    }

    private void settle() {
      for (int i = 0; i < MAX_SETTLE_ROUNDS && !settled(); i++) {
        cluster.run(5 * MICROS_PER_SECOND);
      }
    }

    private boolean settled() {
      return jobs.stream().allMatch(job -> cluster.phase(job).equals("done"));
    }
  }
}
