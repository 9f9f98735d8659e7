package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.SimulatedCluster;
import gladeknot.standin.TestJobs;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;

/**
 * Segments are split while the watch of the controller that splits them lags.
 *
 * <p>What users saw: under faults, at production size, one task of a service ran on two machines at
 * once. No controller reported anything.
 *
 * <p>Order of events: a service waits in its home shard, which has no record of it yet, as nothing
 * of it has started. The state service is slow, so that the watch of a controller S lags.
 * Controller C claims a task and commits its start: it writes the first records of the job for its
 * own shard and for the home shard, in the segments of the present layout. A segment of S is full,
 * and S commits the mark that splits all segments. It works by the new layout at once, while its
 * watch has not reached the claim: the home shard's slice seems to have no record, and under the
 * new layout the first one belongs into a segment that does not exist. S claims the same task on
 * condition that this segment is absent, which it is. Both starts are committed.
 *
 * <p>Cause: the controller's copy shows its own writes ahead of earlier writes of others. The mark
 * was used as soon as it was in the copy, and with it the absence of a record under the new layout,
 * which says nothing of a record under the former one. Evidence: records of one task in two shards
 * as soon as the second start is committed, and the task on two machines.
 */
class SplitFaultsTest {
  private static final int CONTROLLERS = 3;
  private static final int MACHINES = 12;
  private static final int VALUE_BYTES = 1_500;
  private static final long STEP = 10_000;

  /** From so many bytes on a segment holds fewer starts than there is room for on machines. */
  private static final int NEARLY_FULL_BYTES = 1_010;

  /** The controller that splits the segments, and whose watch lags. */
  private static final int SPLITTING = 0;

  /** The controller that claims under the former layout. */
  private static final int CLAIMING = 1;

  /** The controller in whose shard the claimed job waits without a record. */
  private static final int HOME = 2;

  private static final String CLAIMED = "req-claimed";
  private static final String GROWING = "req-growing";

  @Test
  void aTaskClaimedUnderTheFormerLayoutIsNotStartedByTheControllerThatSplits() {
    // given
    SimulatedCluster cluster = fullMachines();
    fillSegmentOf(GROWING, cluster);
    cluster.submit(HOME, service(CLAIMED, 2, 3.0));
    cluster.run(5 * SECOND);
    assertFalse(isRecorded(cluster, CLAIMED));
    cluster.faults().stallWatch(SPLITTING, true);
    // when
    cluster.cancel(CLAIMING, roomIn(CLAIMING));
    await(cluster, "claim", () -> cluster.hasRecordedAttempt(CLAIMED, CLAIMING));
    cluster.submit(SPLITTING, service(GROWING, 6, 0.2));
    await(cluster, "split", () -> segmentSplit(cluster) == 2);
    cluster.cancel(SPLITTING, roomIn(SPLITTING));
    cluster.run(3 * SECOND);
    cluster.faults().stallWatch(SPLITTING, false);
    cluster.run(20 * SECOND);
    // then
    assertEquals(List.of(), cluster.violations());
    // All machines are in one zone, so that the other replica, which is to be spread, waits.
    assertEquals(Map.of("a", 1), cluster.zones(CLAIMED));
  }

  /** Each machine has a service of one task that leaves one of its four CPUs. */
  private static SimulatedCluster fullMachines() {
    SimulatedCluster cluster =
        new SimulatedCluster(CONTROLLERS, 61, new ClusterScale(MACHINES, 0, 300, 150, VALUE_BYTES));
    cluster.taskDuration(500 * SECOND);
    cluster.run(3 * SECOND);
    for (int i = 0; i < MACHINES; i++) {
      cluster.submit(i % CONTROLLERS, service("req-room-" + i, 1, 3.0));
    }
    cluster.run(20 * SECOND);
    for (int shard = 0; shard < CONTROLLERS; shard++) {
      assertTrue(cluster.hasRecordedAttempt(roomIn(shard), shard));
    }
    return cluster;
  }

  /** A service that occupies a machine of a shard. */
  private static String roomIn(int shard) {
    return "req-room-" + shard;
  }

  /** Starts small services until the segment that a job's record belongs in is nearly full. */
  private static void fillSegmentOf(String job, SimulatedCluster cluster) {
    String segment = segmentOf(job);
    for (int i = 0; Json.bytes(cluster.state().get(segment)).length < NEARLY_FULL_BYTES; i++) {
      String filler = "req-fill-" + i;
      if (segmentOf(filler).equals(segment)) {
        cluster.submit(SPLITTING, service(filler, 1, 0.001));
        cluster.run(2 * SECOND);
      }
    }
    assertEquals(1, segmentSplit(cluster));
  }

  /** The segment of a service's record in the shard that is split first, by the first layout. */
  private static String segmentOf(String job) {
    return "g/sl/" + SPLITTING + "/w" + Math.floorMod(job.hashCode(), 2);
  }

  private static long segmentSplit(SimulatedCluster cluster) {
    return Json.longValue(cluster.state().get("g/format"), "split", 0);
  }

  private static boolean isRecorded(SimulatedCluster cluster, String job) {
    return cluster.state().keys("g/sl/").stream()
        .anyMatch(key -> cluster.state().get(key).containsKey(job));
  }

  private static void await(SimulatedCluster cluster, String what, BooleanSupplier condition) {
    for (long waited = 0; waited < 3 * SECOND; waited += STEP) {
      if (condition.getAsBoolean()) {
        return;
      }
      cluster.run(STEP);
    }
    assertTrue(condition.getAsBoolean(), what);
  }

  private static Map<String, Object> service(String id, int tasks, double cpus) {
    Map<String, Object> job = TestJobs.job(id, "service", tasks);
    job.put("cores", cpus);
    job.put("memoryGb", 0.01);
    job.put("scatter", id.equals(CLAIMED));
    return job;
  }
}
