package gladeknot.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRecordCodec;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.json.Json;
import gladeknot.standin.TestJobs;
import gladeknot.state.Entry;
import gladeknot.tasks.RuntimeEstimates;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests what jobs inherit from the jobs that depend on them. */
class PriorityInheritanceTest {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long NOW_MICROS = 1_000 * MICROS_PER_SECOND;

  /**
   * Run time of each task, plus the time from the end of a job until the tasks of its dependent
   * run, in microseconds.
   */
  private static final long STEP_MICROS = 6 * MICROS_PER_SECOND + 3 * MICROS_PER_SECOND;

  private final JobRegistry jobs = new JobRegistry((before, now) -> {});
  private final PriorityInheritance inheritance =
      new PriorityInheritance(jobs, new RuntimeEstimates());
  private long revision;

  private void accept(String id, String priority, Double deadlineSeconds, String... dependencies) {
    Map<String, Object> spec = TestJobs.jobAfter(id, 2, dependencies);
    spec.put("rank", priority);
    spec.put("dueS", deadlineSeconds);
    Map<String, Object> data = Json.of("s", spec, "h", 0, "t", NOW_MICROS);
    jobs.onChange(Job.key(id), new Entry(data, ++revision));
    inheritance.refresh();
  }

  @Test
  void prioritiesAndDeadlinesAreInheritedFromDependents() {
    accept("req-a", "idle", null);
    accept("req-b", "normal", null, "req-a");
    accept("req-c", "idle", null, "req-a");
    assertEquals(JobSpec.Priority.NORMAL, inheritance.priority(jobs.active("req-a")));
    assertEquals(
        PriorityInheritance.NO_DEADLINE_MICROS, inheritance.latestEndMicros(jobs.active("req-a")));
    // A dependent that is submitted later raises the jobs that are already running.
    accept("req-d", "high", 100.0, "req-b", "req-c");
    assertEquals(JobSpec.Priority.HIGH, inheritance.priority(jobs.active("req-a")));
    assertEquals(
        NOW_MICROS + 100 * MICROS_PER_SECOND - 2 * STEP_MICROS,
        inheritance.latestEndMicros(jobs.active("req-a")));
    assertEquals(
        NOW_MICROS + 100 * MICROS_PER_SECOND - STEP_MICROS,
        inheritance.latestEndMicros(jobs.unfinished("req-c")));
  }

  @Test
  void nothingIsInheritedFromACancelledJob() {
    accept("req-a", "idle", null);
    accept("req-b", "high", 50.0, "req-a");
    jobs.onChange(Job.key("req-b"), new Entry(Map.of("p", "withdrawn", "n", 2), ++revision));
    inheritance.refresh();
    assertEquals(JobSpec.Priority.IDLE, inheritance.priority(jobs.active("req-a")));
    assertEquals(
        PriorityInheritance.NO_DEADLINE_MICROS, inheritance.latestEndMicros(jobs.active("req-a")));
  }

  @Test
  void readyTimeIsTheEndOfTheLastDependency() {
    accept("req-a", "idle", null);
    accept("req-b", "idle", null, "req-a");
    long endMicros = NOW_MICROS + 33 * MICROS_PER_SECOND;
    jobs.onChange(Job.key("req-a"), new Entry(JobRecordCodec.encodeDone(2, endMicros), ++revision));
    assertEquals(endMicros, jobs.active("req-b").readyMicros());
    // The first version's records do not contain the time when a job ended.
    jobs.onChange(Job.key("req-0"), new Entry(Map.of("p", "done", "n", 2), ++revision));
    accept("req-c", "idle", null, "req-0");
    assertEquals(NOW_MICROS, jobs.active("req-c").readyMicros());
  }
}
