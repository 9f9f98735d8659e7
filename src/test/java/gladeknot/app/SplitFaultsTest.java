package gladeknot.app;

import static gladeknot.standin.SimulatedCluster.MICROS_PER_SECOND;
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
 * Guards against a task running on two machines after a segment split by a controller whose watch
 * lags.
 *
 * <p>Failure: under faults, at production size, one task of a service ran on two machines at once,
 * and no controller reported it.
 *
 * <p>Order of events:
 *
 * <ol>
 *   <li>A service is pending in its home shard. None of its tasks has started, so the home shard
 *       has no record of it. The state service is slow, and the watch of controller S lags.
 *   <li>Controller C claims a task and commits its start. C writes the first records of the job for
 *       its own shard and for the home shard, in segments of the current layout.
 *   <li>A segment of S is full, and S commits the storage format that splits all segments. S uses
 *       the new layout at once, although its watch has not reached the claim. To S, the home
 *       shard's slice has no record, and its first record belongs in a segment of the new layout
 *       that does not exist yet.
 *   <li>S claims the same task on the precondition that this segment is absent, which holds. Both
 *       starts are committed.
 * </ol>
 *
 * <p>Cause: a controller's cache shows its own writes before earlier writes of other controllers.
 * The storage format was used as soon as it was in the cache. Absence of a record under the new
 * layout was taken as proof, although a record may exist under the former layout. Seen as records
 * of one task in two shards once the second start is committed, and as the task on two machines.
 */
class SplitFaultsTest {
  private static final int CONTROLLERS = 3;
  private static final int MACHINES = 12;
  private static final int VALUE_BYTES = 1_500;
  private static final long STEP_MICROS = 10_000;

  /** Segment size from which a segment takes fewer starts than the machines have capacity for. */
  private static final int NEARLY_FULL_BYTES = 1_010;

  /** Controller that splits the segments and whose watch lags. */
  private static final int SPLITTING = 0;

  /** Controller that claims under the former layout. */
  private static final int CLAIMING = 1;

  /** Controller whose shard holds the claimed job as pending, without a record. */
  private static final int HOME = 2;

  private static final String CLAIMED = "req-claimed";
  private static final String GROWING = "req-growing";

  @Test
  void taskClaimedUnderFormerLayoutIsNotStartedBySplittingController() {
    // given
    SimulatedCluster cluster = clusterWithFullMachines();
    fillSegmentOf(GROWING, cluster);
    cluster.submit(HOME, service(CLAIMED, 2, 3.0));
    cluster.run(5 * MICROS_PER_SECOND);
    assertFalse(isRecorded(cluster, CLAIMED));
    cluster.faults().stallWatch(SPLITTING, true);
    // when
    cluster.cancel(CLAIMING, placeholderIn(CLAIMING));
    await(cluster, "claim", () -> cluster.hasRecordedAttempt(CLAIMED, CLAIMING));
    cluster.submit(SPLITTING, service(GROWING, 6, 0.2));
    await(cluster, "split", () -> segmentSplit(cluster) == 2);
    cluster.cancel(SPLITTING, placeholderIn(SPLITTING));
    cluster.run(3 * MICROS_PER_SECOND);
    cluster.faults().stallWatch(SPLITTING, false);
    cluster.run(20 * MICROS_PER_SECOND);
    // then
    assertEquals(List.of(), cluster.violations());
    // All machines are in one zone, so the second replica, which must be spread, stays pending.
    assertEquals(Map.of("a", 1), cluster.zones(CLAIMED));
  }

  /** Returns a cluster where a service with one task uses three of the four CPUs per machine. */
  private static SimulatedCluster clusterWithFullMachines() {
    SimulatedCluster cluster =
        new SimulatedCluster(CONTROLLERS, 61, new ClusterScale(MACHINES, 0, 300, 150, VALUE_BYTES));
    cluster.taskDuration(500 * MICROS_PER_SECOND);
    cluster.run(3 * MICROS_PER_SECOND);
    for (int i = 0; i < MACHINES; i++) {
      cluster.submit(i % CONTROLLERS, service("req-room-" + i, 1, 3.0));
    }
    cluster.run(20 * MICROS_PER_SECOND);
    for (int shard = 0; shard < CONTROLLERS; shard++) {
      assertTrue(cluster.hasRecordedAttempt(placeholderIn(shard), shard));
    }
    return cluster;
  }

  /** Returns the id of a service that occupies a machine of a shard. */
  private static String placeholderIn(int shard) {
    return "req-room-" + shard;
  }

  /** Starts small services until the segment that a job's record belongs in is nearly full. */
  private static void fillSegmentOf(String job, SimulatedCluster cluster) {
    String segment = segmentOf(job);
    for (int i = 0; Json.bytes(cluster.state().get(segment)).length < NEARLY_FULL_BYTES; i++) {
      String filler = "req-fill-" + i;
      if (segmentOf(filler).equals(segment)) {
        cluster.submit(SPLITTING, service(filler, 1, 0.001));
        cluster.run(2 * MICROS_PER_SECOND);
      }
    }
    assertEquals(1, segmentSplit(cluster));
  }

  /** Returns the segment of a service's record in the splitting shard, by the first layout. */
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
    for (long waitedMicros = 0; waitedMicros < 3 * MICROS_PER_SECOND; waitedMicros += STEP_MICROS) {
      if (condition.getAsBoolean()) {
        return;
      }
      cluster.run(STEP_MICROS);
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
