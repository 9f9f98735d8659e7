package gladeknot.fleet;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import java.util.Optional;

/** Computes the latest times at which pending tasks have to start to meet their objectives. */
final class StartDeadlines {
  /** Delay between a task's end and the time at which its job is seen to be completed. */
  static final long COMPLETION_DELAY_MICROS = 3_000_000;

  private static final long UNLIMITED_MICROS = Long.MAX_VALUE / 4;

  private final Settings settings;
  private final Policy policy;
  private final InstanceCatalog catalog;
  private final SchedulerView scheduler;
  private final FleetClock clock;

  StartDeadlines(
      Settings settings,
      Policy policy,
      InstanceCatalog catalog,
      SchedulerView scheduler,
      FleetClock clock) {
    this.settings = settings;
    this.policy = policy;
    this.catalog = catalog;
    this.scheduler = scheduler;
    this.clock = clock;
  }

  /** Returns the objective for the waiting time of a job class; empty if it has none. */
  Optional<Settings.Objective> waitObjective(String jobClass) {
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind() == ObjectiveKind.WAIT && jobClass.equals(objective.jobClass())) {
        return Optional.of(objective);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the latest time, by the steady clock, at which a task has to run for the next of its
   * job's objectives that can still be met. If none can be met, the policy's rule {@code patience}
   * decides.
   *
   * @param runMicros the expected run time of the task
   * @param fallbackStartMicros when the task would run without another instance, by the steady
   *     clock
   */
  long latestStartMicros(Job job, long runMicros, long fallbackStartMicros) {
    JobSpec spec = job.spec();
    if (spec.deadlineMicros() > 0) {
      return clock.nowMicros() + deadlineSlackMicros(job, runMicros, fallbackStartMicros);
    }
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return clock.nowMicros() + policy.micros(Policy.Name.REPLICA_WAIT);
    }
    return clock.nowMicros()
        + Math.min(
            waitSlackMicros(job), dependentsSlackMicros(job, runMicros, fallbackStartMicros));
  }

  /** Returns how long a task may wait for the first multiple of its deadline that can be met. */
  private long deadlineSlackMicros(Job job, long runMicros, long fallbackStartMicros) {
    JobSpec spec = job.spec();
    long ageMicros = Math.max(0, clock.wallMicros() - job.submittedMicros());
    long minStartDelayMicros = catalog.minStartDelayMicros(spec);
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind() == ObjectiveKind.DEADLINE
          && spec.jobClass().equals(objective.jobClass())) {
        long slackMicros =
            (long) (spec.deadlineMicros() * objective.deadlineMultiple())
                - ageMicros
                - runMicros
                - COMPLETION_DELAY_MICROS;
        if (slackMicros >= minStartDelayMicros
            || clock.nowMicros() + slackMicros >= fallbackStartMicros) {
          double slackFactor = slackMicros > 0 ? policy.number(Policy.Name.HASTE) : 1;
          return Math.max(
              (long) (slackMicros * slackFactor), Math.min(slackMicros, minStartDelayMicros));
        }
      }
    }
    return policy.micros(Policy.Name.PATIENCE);
  }

  /**
   * Returns how long a job's tasks may still wait by the objective of its class. Without an
   * objective, the policy's rule {@code patience} decides.
   */
  private long waitSlackMicros(Job job) {
    Optional<Settings.Objective> objective = waitObjective(job.spec().jobClass());
    if (objective.isEmpty()) {
      return policy.micros(Policy.Name.PATIENCE);
    }
    long waitedMicros = Math.max(0, clock.wallMicros() - job.readyMicros());
    return Math.max(0, objective.get().withinMicros() - waitedMicros);
  }

  /**
   * Returns how long a job's tasks may still wait for the job and those that depend on it to meet
   * their deadlines; {@link #UNLIMITED_MICROS} if the deadlines can't be met.
   */
  private long dependentsSlackMicros(Job job, long runMicros, long fallbackStartMicros) {
    long slackMicros = scheduler.latestEndMicros(job) - clock.wallMicros() - runMicros;
    long minStartDelayMicros = catalog.minStartDelayMicros(job.spec());
    boolean tooLate =
        slackMicros < minStartDelayMicros && clock.nowMicros() + slackMicros < fallbackStartMicros;
    if (slackMicros < 0 || tooLate) {
      return UNLIMITED_MICROS;
    }
    long scaledSlackMicros = (long) (slackMicros * policy.number(Policy.Name.HASTE));
    return Math.max(scaledSlackMicros, Math.min(slackMicros, minStartDelayMicros));
  }
}
