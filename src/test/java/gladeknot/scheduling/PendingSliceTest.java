package gladeknot.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.json.Json;
import gladeknot.standin.SimulatedCluster;
import gladeknot.state.Entry;
import org.junit.jupiter.api.Test;

/** The order of the scheduling queue. */
class PendingSliceTest {
  private static final long SECOND = 1_000_000;
  private static final long NOW = 1_000 * SECOND;
  private static final boolean OWN = false;
  private static final boolean REMOTE = true;

  /** A key of jobs that are late for all their deadlines. */
  private static final long LATE = DeadlineOrder.LATE_KEY + NOW;

  private final JobRegistry jobs = new JobRegistry((before, now) -> {});
  private final Job earlier = accept("req-1", NOW);
  private final Job later = accept("req-2", NOW + SECOND);

  private Job accept(String id, long submittedMicros) {
    Object spec = SimulatedCluster.job(id, "array", 2);
    jobs.onChange(Job.key(id), new Entry(Json.of("s", spec, "h", 0, "t", submittedMicros), 1));
    return jobs.active(id);
  }

  private static PendingSlice pending(
      Job job,
      JobSpec.Priority priority,
      boolean remote,
      boolean starving,
      boolean guaranteed,
      long key) {
    return new PendingSlice(null, job, priority, remote, starving, guaranteed, key);
  }

  private static void assertBefore(PendingSlice first, PendingSlice second) {
    assertTrue(PendingSlice.compareForCycle(first, second) < 0);
    assertTrue(PendingSlice.compareForCycle(second, first) > 0);
  }

  @Test
  void eachCriterionOutweighsAllThatComeAfterIt() {
    JobSpec.Priority normal = JobSpec.Priority.NORMAL;
    PendingSlice least = pending(later, normal, REMOTE, false, false, LATE);
    PendingSlice own = pending(later, normal, OWN, false, false, LATE + 1);
    PendingSlice inTime = pending(later, normal, REMOTE, false, false, NOW);
    PendingSlice guaranteed = pending(later, normal, REMOTE, false, true, LATE);
    PendingSlice starving = pending(later, normal, REMOTE, true, false, LATE);
    PendingSlice high = pending(later, JobSpec.Priority.HIGH, REMOTE, false, false, LATE);
    assertBefore(own, least);
    // The scheduled shard's work that is late doesn't come before what can be in time elsewhere.
    assertBefore(inTime, own);
    assertBefore(guaranteed, inTime);
    assertBefore(starving, guaranteed);
    assertBefore(high, starving);
  }

  @Test
  void equalCriteriaAreDecidedByDeadlineKeyThenAge() {
    JobSpec.Priority normal = JobSpec.Priority.NORMAL;
    PendingSlice soon = pending(later, normal, OWN, false, false, NOW);
    PendingSlice late = pending(earlier, normal, OWN, false, false, NOW + 1);
    PendingSlice older = pending(earlier, normal, OWN, false, false, NOW);
    assertBefore(soon, late);
    assertBefore(older, soon);
    assertEquals(0, PendingSlice.compareForCycle(older, older));
  }

  @Test
  void demandDisregardsWhoseShardASliceIsIn() {
    JobSpec.Priority normal = JobSpec.Priority.NORMAL;
    PendingSlice own = pending(later, normal, OWN, false, false, NOW + 1);
    PendingSlice remote = pending(later, normal, REMOTE, false, false, NOW);
    PendingSlice guaranteed = pending(later, normal, REMOTE, false, true, LATE);
    assertBefore(own, remote);
    assertTrue(PendingSlice.compareForDemand(remote, own) < 0);
    assertTrue(PendingSlice.compareForDemand(guaranteed, remote) < 0);
  }
}
