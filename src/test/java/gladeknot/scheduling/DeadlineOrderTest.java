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

/** Tests the order of jobs with deadlines. Each task runs for 6 s, and one task runs at a time. */
class DeadlineOrderTest {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long NOW_MICROS = 1_000 * MICROS_PER_SECOND;

  /**
   * A submitted job.
   *
   * @param id the id of the job
   * @param tasks the number of its tasks
   * @param ageSeconds the time since its submission, in seconds
   * @param deadlineSeconds the time from its submission to its deadline, in seconds
   */
  private record SubmittedJob(String id, int tasks, long ageSeconds, double deadlineSeconds) {}

  private record Case(String name, List<SubmittedJob> jobs, List<String> order) {}

  private static final List<Case> CASES =
      List.of(
          new Case(
              "the earliest deadline comes first while all can be met",
              List.of(new SubmittedJob("req-b", 1, 0, 60), new SubmittedJob("req-a", 1, 0, 30)),
              List.of("req-a", "req-b")),
          new Case(
              "the largest job is deferred when not all deadlines can be met",
              List.of(
                  new SubmittedJob("req-big", 20, 0, 40),
                  new SubmittedJob("req-c", 4, 0, 50),
                  new SubmittedJob("req-d", 4, 0, 75)),
              List.of("req-c", "req-d", "req-big")),
          new Case(
              "missed deadlines come last, the oldest first",
              List.of(
                  new SubmittedJob("req-new", 2, 0, 60),
                  new SubmittedJob("req-late", 2, 100, 20),
                  new SubmittedJob("req-later", 2, 200, 20)),
              List.of("req-new", "req-later", "req-late")),
          new Case(
              "a job that is too late for its deadline is ordered by 1.5 times the deadline",
              List.of(
                  new SubmittedJob("req-hopeless", 1, 300, 40),
                  new SubmittedJob("req-second", 1, 36, 40),
                  new SubmittedJob("req-first", 1, 0, 60)),
              List.of("req-first", "req-second", "req-hopeless")));

  /** Cases where the class also has a wait objective of 180 s and a finish objective of 300 s. */
  private static final List<Case> WITH_OTHER_OBJECTIVES =
      List.of(
          new Case(
              "a deferred job comes first when its wait objective is at risk",
              List.of(
                  new SubmittedJob("req-new", 1, 0, 60),
                  new SubmittedJob("req-waits", 2, 90, 40),
                  new SubmittedJob("req-largest", 3, 120, 40)),
              List.of("req-new", "req-largest", "req-waits")),
          new Case(
              "after its wait objective, a job comes first when its finish objective is at risk",
              List.of(
                  new SubmittedJob("req-new", 1, 0, 60),
                  new SubmittedJob("req-last", 5, 270, 40),
                  new SubmittedJob("req-over", 30, 310, 40)),
              List.of("req-last", "req-new", "req-over")));

  @TestFactory
  Stream<DynamicTest> jobsAreOrderedByUrgency() {
    Settings deadlinesOnly = ClusterSettings.of(0, 1, ClusterScale.SMALL);
    Settings withOtherObjectives =
        addObjectives(deadlinesOnly, ObjectiveKind.WAIT, 180, ObjectiveKind.FINISHED, 300);
    return Stream.concat(
        CASES.stream().map(testCase -> test(testCase, deadlinesOnly)),
        WITH_OTHER_OBJECTIVES.stream().map(testCase -> test(testCase, withOtherObjectives)));
  }

  private static DynamicTest test(Case testCase, Settings settings) {
    return DynamicTest.dynamicTest(
        testCase.name(), () -> assertEquals(testCase.order(), order(testCase, settings)));
  }

  private static Settings addObjectives(
      Settings settings,
      ObjectiveKind firstKind,
      long firstWithinSeconds,
      ObjectiveKind secondKind,
      long secondWithinSeconds) {
    List<Settings.Objective> objectives = new ArrayList<>(settings.objectives());
    objectives.add(
        new Settings.Objective(
            firstKind, "batch", firstWithinSeconds * MICROS_PER_SECOND, 0.99, 0));
    objectives.add(
        new Settings.Objective(
            secondKind, "batch", secondWithinSeconds * MICROS_PER_SECOND, 0.99, 0));
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
    for (SubmittedJob submitted : testCase.jobs()) {
      Map<String, Object> spec = TestJobs.job(submitted.id(), "array", submitted.tasks());
      spec.put("dueS", submitted.deadlineSeconds());
      long submittedMicros = NOW_MICROS - submitted.ageSeconds() * MICROS_PER_SECOND;
      jobs.onChange(
          Job.key(submitted.id()), new Entry(Json.of("s", spec, "h", 0, "t", submittedMicros), 1));
      slices.jobChanged(submitted.id(), jobs.active(submitted.id()));
    }
    DeadlineOrder deadlineOrder =
        new DeadlineOrder(settings, Policy.of(""), jobs, slices, new RuntimeEstimates());
    deadlineOrder.refresh(NOW_MICROS, NOW_MICROS, spec -> 1);
    return jobs.active().stream()
        .sorted(Comparator.comparingLong(deadlineOrder::key))
        .map(Job::id)
        .toList();
  }
}
