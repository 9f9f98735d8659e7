package gladeknot.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.standin.TestJobs;
import gladeknot.state.Entry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Jobs are held, released and cancelled by their dependencies, in whatever order their records are
 * read.
 */
class JobRegistryTest {
  private final List<String> changes = new ArrayList<>();
  private final JobRegistry jobs =
      new JobRegistry(
          (before, now) -> changes.add((now.active() ? "active " : "over ") + now.id()));
  private long revision;

  private static Map<String, Object> record(String id, String... dependencies) {
    return Json.of("s", TestJobs.jobAfter(id, 1, dependencies), "h", 0, "t", 1_000);
  }

  private void accept(String id, String... dependencies) {
    put(id, record(id, dependencies));
  }

  private void put(String id, Map<String, Object> record) {
    jobs.onChange(Job.key(id), new Entry(record, ++revision));
  }

  /** Memory after a million finished jobs may be a tenth above that after this many. */
  private static final int MAX_FINISHED_IN_MEMORY = 10_000;

  private void done(String id) {
    put(id, JobRecordCodec.encodeDone(1, 2_000));
  }

  private void cancel(String id) {
    put(id, JobRecordCodec.encodeCancelled(1));
  }

  @Test
  void jobIsReleasedWhenLastDependencyIsDone() {
    accept("req-a");
    accept("req-b");
    accept("req-c", "req-a", "req-b");
    assertNull(jobs.active("req-c"));
    done("req-a");
    assertEquals(List.of("req-b"), List.copyOf(jobs.openDependencies("req-c")));
    done("req-b");
    assertEquals("req-c", jobs.active("req-c").id());
    assertEquals(
        List.of("active req-a", "active req-b", "over req-a", "over req-b", "active req-c"),
        changes);
  }

  @Test
  void resultDoesNotDependOnOrderOfRecords() {
    for (int seed = 0; seed < 20; seed++) {
      JobRegistry registry = new JobRegistry((before, now) -> {});
      List<String> order = new ArrayList<>(List.of("a", "b", "c", "d", "e"));
      Collections.shuffle(order, new Random(seed));
      for (String name : order) {
        Map<String, Object> record =
            switch (name) {
              case "a" -> JobRecordCodec.encodeCancelled(1);
              case "b" -> JobRecordCodec.encodeDone(1, 5_000);
              case "c" -> record("req-c", "req-b");
              case "d" -> record("req-d", "req-c", "req-a");
              default -> record("req-e", "req-d");
            };
        registry.onChange(Job.key("req-" + name), new Entry(record, 1));
      }
      assertEquals(5_000, registry.active("req-c").readyMicros());
      assertTrue(registry.isFinished("req-d") && registry.isFinished("req-e"), order.toString());
      assertEquals(2, registry.cancelledByDependency().size());
      assertEquals(0, registry.held().size());
    }
  }

  @Test
  void jobMayHaveHundredsOfDependentsOrDependencies() {
    accept("req-first");
    String[] middle = new String[500];
    for (int i = 0; i < middle.length; i++) {
      middle[i] = "req-m" + i;
      accept(middle[i], "req-first");
    }
    accept("req-last", middle);
    done("req-first");
    for (String id : middle) {
      assertNull(jobs.active("req-last"));
      done(id);
    }
    assertEquals("req-last", jobs.active("req-last").id());
  }

  /** Guards against memory that grows with the number of finished jobs. */
  @Test
  void numberOfFinishedJobsInMemoryIsBounded() {
    int finished = 50_000;
    for (int i = 0; i < finished; i++) {
      done("req-" + i);
    }
    int known = 0;
    for (int i = 0; i < finished; i++) {
      known += jobs.isFinished("req-" + i) ? 1 : 0;
    }
    assertTrue(known <= MAX_FINISHED_IN_MEMORY, known + " finished jobs in memory");
    assertTrue(jobs.isFinished("req-" + (finished - 1)));
  }

  @Test
  void cancellationPropagatesToDependentsOnly() {
    accept("req-a");
    accept("req-b", "req-a");
    accept("req-c", "req-b");
    accept("req-d", "req-b", "req-a");
    cancel("req-c");
    assertEquals("req-b", jobs.unfinished("req-b").id());
    cancel("req-b");
    assertTrue(jobs.isFinished("req-d"));
    assertEquals("req-a", jobs.active("req-a").id());
    // The job's own record now shows the cancellation.
    cancel("req-d");
    assertEquals(List.of(), jobs.cancelledByDependency());
    assertEquals(Job.Phase.CANCELLED, jobs.finished("req-d").phase());
  }
}
