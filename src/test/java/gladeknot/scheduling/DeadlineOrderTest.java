package gladeknot.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.policy.Policy;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import gladeknot.standin.TestJobs;
import gladeknot.state.Entry;
import gladeknot.state.StateStore;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.tasks.SliceRegistry;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/** The order of jobs with deadlines: tasks of six seconds, one at a time. */
class DeadlineOrderTest {
  private static final long SECOND = 1_000_000;
  private static final long NOW = 1_000 * SECOND;

  /** A job: its tasks, when it came and how long it has from then, in seconds. */
  private record Wanted(String id, int tasks, long agoS, double dueS) {}

  private record Case(String name, List<Wanted> jobs, List<String> order) {}

  private static final List<Case> CASES =
      List.of(
          new Case(
              "the earliest deadline comes first while all can be met",
              List.of(new Wanted("req-b", 1, 0, 60), new Wanted("req-a", 1, 0, 30)),
              List.of("req-a", "req-b")),
          new Case(
              "the largest is deferred when not all deadlines can be met",
              List.of(
                  new Wanted("req-big", 20, 0, 40),
                  new Wanted("req-c", 4, 0, 50),
                  new Wanted("req-d", 4, 0, 75)),
              List.of("req-c", "req-d", "req-big")),
          new Case(
              "missed deadlines come last, the oldest first",
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

  /** The same where the class is to begin within 180 s and to end within 300 s as well. */
  private static final List<Case> WITH_OTHER_AIMS =
      List.of(
          new Case(
              "a deferred job comes first when its wait objective is at risk",
              List.of(
                  new Wanted("req-new", 1, 0, 60),
                  new Wanted("req-waits", 2, 90, 40),
                  new Wanted("req-largest", 3, 120, 40)),
              List.of("req-new", "req-largest", "req-waits")),
          new Case(
              "after its wait objective it comes first when its finish objective is at risk",
              List.of(
                  new Wanted("req-new", 1, 0, 60),
                  new Wanted("req-last", 5, 270, 40),
                  new Wanted("req-over", 30, 310, 40)),
              List.of("req-last", "req-new", "req-over")));

  @TestFactory
  Stream<DynamicTest> jobsAreOrderedByUrgency() {
    Settings usual = ClusterSettings.of(0, 1, ClusterScale.SMALL);
    Settings more = with(usual, ObjectiveKind.WAIT, 180, ObjectiveKind.FINISHED, 300);
    return Stream.concat(
        CASES.stream().map(testCase -> test(testCase, usual)),
        WITH_OTHER_AIMS.stream().map(testCase -> test(testCase, more)));
  }

  private static DynamicTest test(Case testCase, Settings settings) {
    return DynamicTest.dynamicTest(
        testCase.name(), () -> assertEquals(testCase.order(), order(testCase, settings)));
  }

  private static Settings with(
      Settings settings, ObjectiveKind first, long firstS, ObjectiveKind then, long thenS) {
    List<Settings.Objective> objectives = new ArrayList<>(settings.objectives());
    objectives.add(new Settings.Objective(first, "batch", firstS * SECOND, 0.99, 0));
    objectives.add(new Settings.Objective(then, "batch", thenS * SECOND, 0.99, 0));
    return new Settings(
        settings.node(),
        settings.zone(),
        settings.clientListen(),
        settings.peerListen(),
        settings.members(),
        settings.cloudAddress(),
        settings.stateAddress(),
        settings.zones(),
        settings.clockErrorMicros(),
        settings.teams(),
        objectives,
        settings.workers(),
        settings.stateLimits(),
        settings.nextStateLimits(),
        settings.cloudLimits(),
        settings.maxConnections());
  }

  private static List<String> order(Case testCase, Settings settings) {
    JobRegistry jobs = new JobRegistry((before, now) -> {});
    StateStore stateStore =
        new StateStore(settings, new Outbox(), new SplittableRandom(1), changes -> {});
    SliceRegistry slices = new SliceRegistry(1, () -> 1, stateStore, new WorkerRegistry());
    for (Wanted wanted : testCase.jobs()) {
      Map<String, Object> spec = TestJobs.job(wanted.id(), "array", wanted.tasks());
      spec.put("dueS", wanted.dueS());
      long at = NOW - wanted.agoS() * SECOND;
      jobs.onChange(Job.key(wanted.id()), new Entry(Json.of("s", spec, "h", 0, "t", at), 1));
      slices.jobChanged(wanted.id(), jobs.active(wanted.id()));
    }
    DeadlineOrder deadlineOrder =
        new DeadlineOrder(settings, Policy.of(""), jobs, slices, new RuntimeEstimates());
    deadlineOrder.refresh(NOW, NOW, spec -> 1);
    return jobs.active().stream()
        .sorted(Comparator.comparingLong(deadlineOrder::key))
        .map(Job::id)
        .toList();
  }
}
