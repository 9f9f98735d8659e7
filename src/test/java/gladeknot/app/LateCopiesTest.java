package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

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
 * Guards against tasks that run twice, or after their cancellation, because a late copy of a
 * message reaches a controller or a machine: copies of heartbeats, of answers to them, which carry
 * the start commands, and of direct commands. Controllers and machines, whose counters then begin
 * anew, end and are back within a second, and tasks are moved, end and are cancelled. For more
 * seeds: {@code mvn test -Dtest=LateCopiesTest -Dgladeknot.seeds=FIRST,COUNT}.
 */
class LateCopiesTest {
  private static final long FIRST_SEED = 1;
  private static final long SEED_COUNT = 12;
  private static final int CONTROLLERS = 3;
  private static final int EVENTS = 90;

  /** What happens besides the copies. */
  private enum Events {
    /** Controllers end and are back within a second. */
    CONTROLLERS,
    /** Machines end and are back at once with their counters reset. */
    MACHINES,
    /** Both. */
    BOTH,
    /** Both, and controllers are away until others have taken their shards over. */
    HAND_OVERS
  }

  @TestFactory
  Stream<DynamicTest> noTaskRunsTwiceOrAfterItsCancellation() {
    return TestSeeds.selected(TestSeeds.range(FIRST_SEED, SEED_COUNT))
        .boxed()
        .flatMap(
            seed ->
                Stream.of(Events.values())
                    .map(
                        events ->
                            DynamicTest.dynamicTest(
                                "seed " + seed + " " + events, () -> runSeed(seed, events))));
  }

  private static void runSeed(long seed, Events events) {
    // given
    SplittableRandom random = new SplittableRandom(seed);
    SimulatedCluster cluster =
        new SimulatedCluster(CONTROLLERS, seed, new ClusterScale(12, 36_000, 300, 150));
    List<String> arrays = new ArrayList<>();
    List<String> schedule = new ArrayList<>();
    cluster.startPolling();
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.submit(0, TestJobs.job("req-web", "service", 5));
    submit(cluster, arrays, 6, random);
    cluster.run(8 * MICROS_PER_SECOND);
    // when
    cluster.faults().copyMessages(true);
    for (int i = 0; i < EVENTS; i++) {
      schedule.add(cluster.now() / 1000 + " ms: " + event(cluster, events, arrays, random));
      cluster.taskDuration((1 + random.nextInt(9)) * MICROS_PER_SECOND);
      cluster.run(random.nextLong(MICROS_PER_SECOND));
    }
    cluster.faults().copyMessages(false);
    cluster.taskDuration(4 * MICROS_PER_SECOND);
    cluster.expectRecovery();
    cluster.run(100 * MICROS_PER_SECOND);
    // then
    assertEquals(List.of(), cluster.violations(), schedule::toString);
    for (String array : arrays) {
      String phase = cluster.phase(array);
      assertEquals(phase.equals("withdrawn") ? phase : "done", phase, array);
    }
    assertEquals("running", cluster.phase("req-web"));
  }

  private static String event(
      SimulatedCluster cluster, Events events, List<String> arrays, SplittableRandom random) {
    int node = random.nextInt(CONTROLLERS);
    switch (random.nextInt(8)) {
      case 0, 1 -> {
        if (events == Events.HAND_OVERS && random.nextInt(3) == 0) {
          return handOver(cluster, node, random);
        }
        return events == Events.MACHINES ? "" : restartController(cluster, node, random);
      }
      case 2, 3 -> {
        return events == Events.CONTROLLERS ? "" : rebootMachine(cluster, random);
      }
      case 4 -> {
        String job = arrays.get(random.nextInt(arrays.size()));
        cluster.cancel(node, job);
        return "cancel " + job;
      }
      case 5 -> {
        return moveTasks(cluster, random);
      }
      default -> {
        submit(cluster, arrays, 2, random);
        return "submit";
      }
    }
  }

  private static String restartController(
      SimulatedCluster cluster, int node, SplittableRandom random) {
    cluster.kill(node);
    cluster.run(50_000 + random.nextLong(900_000));
    cluster.start(node);
    return "restart controller " + node;
  }

  /** Keeps a controller away until its shard has another owner, to which copies then go. */
  private static String handOver(SimulatedCluster cluster, int node, SplittableRandom random) {
    cluster.kill(node);
    cluster.run(7 * MICROS_PER_SECOND + random.nextLong(4 * MICROS_PER_SECOND));
    cluster.start(node);
    return "hand-over of " + node;
  }

  private static String rebootMachine(SimulatedCluster cluster, SplittableRandom random) {
    int count = cluster.machineCount();
    if (count == 0) {
      return "";
    }
    int nth = random.nextInt(count);
    cluster.machineFaults().reboot(nth);
    return "reboot machine " + nth;
  }

  /** Takes a spot machine back after a notice, so that its tasks are moved to others. */
  private static String moveTasks(SimulatedCluster cluster, SplittableRandom random) {
    List<String> hosts = List.copyOf(cluster.hosts("req-web"));
    if (hosts.isEmpty()) {
      return "";
    }
    String host = hosts.get(random.nextInt(hosts.size()));
    cluster.machineFaults().reclaim(host, 6 * MICROS_PER_SECOND);
    return "reclaim " + host;
  }

  private static void submit(
      SimulatedCluster cluster, List<String> arrays, int count, SplittableRandom random) {
    for (int i = 0; i < count; i++) {
      String id = "req-array" + arrays.size();
      Map<String, Object> job = TestJobs.job(id, "array", 1 + random.nextInt(6));
      if (random.nextInt(3) == 0) {
        job.put("rank", "high");
      }
      cluster.submit(random.nextInt(CONTROLLERS), job);
      arrays.add(id);
    }
  }
}
