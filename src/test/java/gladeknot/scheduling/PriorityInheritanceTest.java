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

/** What jobs inherit from those that wait for them. */
class PriorityInheritanceTest {
  private static final long SECOND = 1_000_000;
  private static final long NOW = 1_000 * SECOND;

  /** Run time of each task, and what lies between the end of a job and the start of the next. */
  private static final long STEP = 6 * SECOND + 3 * SECOND;

  private final JobRegistry jobs = new JobRegistry((before, now) -> {});
  private final PriorityInheritance inheritance =
      new PriorityInheritance(jobs, new RuntimeEstimates());
  private long stamp;

  private void accept(String id, String rank, Double dueS, String... needs) {
    Map<String, Object> spec = TestJobs.jobAfter(id, 2, needs);
    spec.put("rank", rank);
    spec.put("dueS", dueS);
    Map<String, Object> data = Json.of("s", spec, "h", 0, "t", NOW);
    jobs.onChange(Job.key(id), new Entry(data, ++stamp));
    inheritance.refresh();
  }

  @Test
  void ranksAndDeadlinesComeFromTheEndOfThePipeline() {
    accept("req-a", "idle", null);
    accept("req-b", "normal", null, "req-a");
    accept("req-c", "idle", null, "req-a");
    assertEquals(JobSpec.Priority.NORMAL, inheritance.priority(jobs.active("req-a")));
    assertEquals(PriorityInheritance.NEVER, inheritance.latestEndMicros(jobs.active("req-a")));
    // The last of a pipeline is submitted late, and raises those that run already.
    accept("req-d", "high", 100.0, "req-b", "req-c");
    assertEquals(JobSpec.Priority.HIGH, inheritance.priority(jobs.active("req-a")));
    assertEquals(NOW + 100 * SECOND - 2 * STEP, inheritance.latestEndMicros(jobs.active("req-a")));
    assertEquals(NOW + 100 * SECOND - STEP, inheritance.latestEndMicros(jobs.unfinished("req-c")));
  }

  @Test
  void nothingIsInheritedFromAWithdrawnJob() {
    accept("req-a", "idle", null);
    accept("req-b", "high", 50.0, "req-a");
    jobs.onChange(Job.key("req-b"), new Entry(Map.of("p", "withdrawn", "n", 2), ++stamp));
    inheritance.refresh();
    assertEquals(JobSpec.Priority.IDLE, inheritance.priority(jobs.active("req-a")));
    assertEquals(PriorityInheritance.NEVER, inheritance.latestEndMicros(jobs.active("req-a")));
  }

  @Test
  void waitsCountFromTheEndOfTheLastNeededJob() {
    accept("req-a", "idle", null);
    accept("req-b", "idle", null, "req-a");
    long end = NOW + 33 * SECOND;
    jobs.onChange(Job.key("req-a"), new Entry(JobRecordCodec.encodeDone(2, end), ++stamp));
    assertEquals(end, jobs.active("req-b").readyMicros());
    // The first version's records do not contain the time when a job ended.
    jobs.onChange(Job.key("req-0"), new Entry(Map.of("p", "done", "n", 2), ++stamp));
    accept("req-c", "idle", null, "req-0");
    assertEquals(NOW, jobs.active("req-c").readyMicros());
  }
}
