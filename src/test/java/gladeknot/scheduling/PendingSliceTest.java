package gladeknot.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.json.Json;
import gladeknot.standin.TestJobs;
import gladeknot.state.Entry;
import org.junit.jupiter.api.Test;

/** Tests the order of the scheduling queue. */
class PendingSliceTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long NOW_MICROS = 1_000 * SECOND_MICROS;
  private static final boolean OWN = false;
  private static final boolean REMOTE = true;

  /** Deadline key of jobs that are late for all their deadlines. */
  private static final long LATE_DEADLINE_KEY = DeadlineOrder.LATE_KEY + NOW_MICROS;

  private final JobRegistry jobs = new JobRegistry((before, now) -> {});
  private final Job earlier = accept("req-1", NOW_MICROS);
  private final Job later = accept("req-2", NOW_MICROS + SECOND_MICROS);

  private Job accept(String id, long submittedMicros) {
    Object spec = TestJobs.job(id, "array", 2);
    jobs.onChange(Job.key(id), new Entry(Json.of("s", spec, "h", 0, "t", submittedMicros), 1));
    return jobs.active(id);
  }

  private static PendingSlice pending(
      Job job,
      JobSpec.Priority priority,
      boolean remote,
      boolean starving,
      boolean guaranteed,
      long deadlineKey) {
    return new PendingSlice(null, job, priority, remote, starving, guaranteed, deadlineKey);
  }

  private static void assertBefore(PendingSlice first, PendingSlice second) {
    assertTrue(PendingSlice.compareForCycle(first, second) < 0);
    assertTrue(PendingSlice.compareForCycle(second, first) > 0);
  }

  @Test
  void eachCriterionOutweighsAllLessSignificantOnes() {
    JobSpec.Priority normal = JobSpec.Priority.NORMAL;
    PendingSlice least = pending(later, normal, REMOTE, false, false, LATE_DEADLINE_KEY);
    PendingSlice own = pending(later, normal, OWN, false, false, LATE_DEADLINE_KEY + 1);
    PendingSlice inTime = pending(later, normal, REMOTE, false, false, NOW_MICROS);
    PendingSlice guaranteed = pending(later, normal, REMOTE, false, true, LATE_DEADLINE_KEY);
    PendingSlice starving = pending(later, normal, REMOTE, true, false, LATE_DEADLINE_KEY);
    PendingSlice high =
        pending(later, JobSpec.Priority.HIGH, REMOTE, false, false, LATE_DEADLINE_KEY);
    assertBefore(own, least);
    // A late slice of the scheduled shard comes after a slice of another shard that can be in time.
    assertBefore(inTime, own);
    assertBefore(guaranteed, inTime);
    assertBefore(starving, guaranteed);
    assertBefore(high, starving);
  }

  @Test
  void slicesWithEqualCriteriaAreOrderedByDeadlineKeyThenAge() {
    JobSpec.Priority normal = JobSpec.Priority.NORMAL;
    PendingSlice earlierDeadline = pending(later, normal, OWN, false, false, NOW_MICROS);
    PendingSlice laterDeadline = pending(earlier, normal, OWN, false, false, NOW_MICROS + 1);
    PendingSlice older = pending(earlier, normal, OWN, false, false, NOW_MICROS);
    assertBefore(earlierDeadline, laterDeadline);
    assertBefore(older, earlierDeadline);
    assertEquals(0, PendingSlice.compareForCycle(older, older));
  }

  @Test
  void demandOrderIgnoresTheShardOfASlice() {
    JobSpec.Priority normal = JobSpec.Priority.NORMAL;
    PendingSlice own = pending(later, normal, OWN, false, false, NOW_MICROS + 1);
    PendingSlice remote = pending(later, normal, REMOTE, false, false, NOW_MICROS);
    PendingSlice guaranteed = pending(later, normal, REMOTE, false, true, LATE_DEADLINE_KEY);
    assertBefore(own, remote);
    assertTrue(PendingSlice.compareForDemand(remote, own) < 0);
    assertTrue(PendingSlice.compareForDemand(guaranteed, remote) < 0);
  }
}
