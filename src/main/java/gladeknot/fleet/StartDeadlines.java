package gladeknot.fleet;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import java.util.Optional;

/** By when pending tasks have to start for their service-level objectives. */
final class StartDeadlines {
  /** From a task's end until its job is seen to be done. */
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

  /** The objective for how long tasks of a class wait; empty if it has none. */
  Optional<Settings.Objective> waitObjective(String jobClass) {
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind() == ObjectiveKind.WAIT && jobClass.equals(objective.jobClass())) {
        return Optional.of(objective);
      }
    }
    return Optional.empty();
  }

  /**
   * When a task has to run at the latest, by the steady clock, for the next of its job's objectives
   * that can still be met; if none can, by the policy's patience.
   *
   * @param runMicros how long the task is thought to run
   * @param otherwiseMicros when it would run without another instance, by the steady clock
   */
  long latestStartMicros(Job job, long runMicros, long otherwiseMicros) {
    JobSpec spec = job.spec();
    if (spec.deadlineMicros() > 0) {
      return clock.nowMicros() + deadlineSlackMicros(job, runMicros, otherwiseMicros);
    }
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return clock.nowMicros() + policy.micros(Policy.Name.REPLICA_WAIT);
    }
    return clock.nowMicros()
        + Math.min(waitSlackMicros(job), pipelineSlackMicros(job, runMicros, otherwiseMicros));
  }

  /** How long a task may wait for the first multiple of its deadline that can still be met. */
  private long deadlineSlackMicros(Job job, long runMicros, long otherwiseMicros) {
    JobSpec spec = job.spec();
    long ageMicros = Math.max(0, clock.wallMicros() - job.submittedMicros());
    long soonestMicros = catalog.soonestStartMicros(spec);
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind() == ObjectiveKind.DEADLINE
          && spec.jobClass().equals(objective.jobClass())) {
        long slackMicros =
            (long) (spec.deadlineMicros() * objective.times())
                - ageMicros
                - runMicros
                - COMPLETION_DELAY_MICROS;
        if (slackMicros >= soonestMicros || clock.nowMicros() + slackMicros >= otherwiseMicros) {
          double urgency = slackMicros > 0 ? policy.number(Policy.Name.HASTE) : 1;
          return Math.max((long) (slackMicros * urgency), Math.min(slackMicros, soonestMicros));
        }
      }
    }
    return policy.micros(Policy.Name.PATIENCE);
  }

  /** How long a job's tasks may still wait by its class's objective, or by the policy. */
  private long waitSlackMicros(Job job) {
    Optional<Settings.Objective> objective = waitObjective(job.spec().jobClass());
    if (objective.isEmpty()) {
      return policy.micros(Policy.Name.PATIENCE);
    }
    long waitedMicros = Math.max(0, clock.wallMicros() - job.readyMicros());
    return Math.max(0, objective.get().withinMicros() - waitedMicros);
  }

  /** How long a job's tasks may still wait for its pipeline to be in time, if it can be. */
  private long pipelineSlackMicros(Job job, long runMicros, long otherwiseMicros) {
    long slackMicros = scheduler.latestEndMicros(job) - clock.wallMicros() - runMicros;
    long soonestMicros = catalog.soonestStartMicros(job.spec());
    boolean late = slackMicros < soonestMicros && clock.nowMicros() + slackMicros < otherwiseMicros;
    if (slackMicros < 0 || late) {
      return UNLIMITED_MICROS;
    }
    long unhurriedMicros = (long) (slackMicros * policy.number(Policy.Name.HASTE));
    return Math.max(unhurriedMicros, Math.min(slackMicros, soonestMicros));
  }
}
