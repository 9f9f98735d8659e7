package gladeknot.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.http.Json;
import gladeknot.http.Outbox;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobBook;
import gladeknot.ledger.Ledger;
import gladeknot.settings.Settings;
import gladeknot.standin.World;
import gladeknot.workers.WorkerBook;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** The order of jobs with deadlines: tasks of six seconds, one at a time. */
class UrgencyTest {
  private static final long SECOND = 1_000_000;
  private static final long NOW = 1_000 * SECOND;

  /** A job: its tasks, when it came and how long it has from then, in seconds. */
  private record Wanted(String id, int tasks, long agoS, double dueS) {}

  private record Case(String name, List<Wanted> jobs, List<String> order) {}

  private static final List<Case> CASES =
      List.of(
          new Case(
              "due first goes first while all can be in time",
              List.of(new Wanted("req-b", 1, 0, 60), new Wanted("req-a", 1, 0, 30)),
              List.of("req-a", "req-b")),
          new Case(
              "the largest is put off when not all can be",
              List.of(
                  new Wanted("req-big", 20, 0, 40),
                  new Wanted("req-c", 4, 0, 50),
                  new Wanted("req-d", 4, 0, 75)),
              List.of("req-c", "req-d", "req-big")),
          new Case(
              "what is late already goes last, the oldest first",
              List.of(
                  new Wanted("req-new", 2, 0, 60),
                  new Wanted("req-late", 2, 100, 20),
                  new Wanted("req-later", 2, 200, 20)),
              List.of("req-new", "req-later", "req-late")),
          new Case(
              "too late for its deadline, it is served by one and a half times that",
              List.of(
                  new Wanted("req-hopeless", 1, 300, 40),
                  new Wanted("req-second", 1, 36, 40),
                  new Wanted("req-first", 1, 0, 60)),
              List.of("req-first", "req-second", "req-hopeless")));

  @TestFactory
  Stream<DynamicTest> order() {
    return CASES.stream()
        .map(c -> DynamicTest.dynamicTest(c.name(), () -> assertEquals(c.order(), order(c))));
  }

  private static List<String> order(Case c) {
    Settings settings = World.settings(0, 1, World.SMALL);
    JobBook jobs = new JobBook((before, now) -> {});
    Ledger ledger =
        new Ledger(settings, new Outbox(), new SplittableRandom(1), (key, before, now) -> {});
    SliceBook slices = new SliceBook(1, ledger, new WorkerBook());
    for (Wanted w : c.jobs()) {
      Map<String, Object> spec = World.job(w.id(), "array", w.tasks());
      spec.put("dueS", w.dueS());
      long at = NOW - w.agoS() * SECOND;
      jobs.changed(Job.key(w.id()), new Ledger.Entry(Json.of("s", spec, "h", 0, "t", at), 1));
      slices.jobChanged(w.id(), jobs.active(w.id()));
    }
    Urgency urgency = new Urgency(settings, jobs, slices, new Estimates());
    urgency.refresh(NOW, NOW, spec -> 1);
    return jobs.active().stream()
        .sorted(Comparator.comparingLong(urgency::key))
        .map(Job::id)
        .toList();
  }
}
