package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;

/** Computes the number of tasks of a job class to keep capacity for, ahead of their arrival. */
final class CapacityTargets {
  /**
   * Slack of a deadline, in start delays of an instance, above which the deadline can be met with
   * instances requested on demand.
   */
  private static final int ON_DEMAND_SLACK_STARTS = 2;

  private final Policy policy;
  private final InstanceCatalog catalog;
  private final SchedulerView scheduler;
  private final StartDeadlines deadlines;

  CapacityTargets(
      Policy policy, InstanceCatalog catalog, SchedulerView scheduler, StartDeadlines deadlines) {
    this.policy = policy;
    this.catalog = catalog;
    this.scheduler = scheduler;
    this.deadlines = deadlines;
  }

  /**
   * Returns the number of tasks of a class to keep capacity for. Tasks that are already placed are
   * included.
   */
  double target(ArrivalRates.ClassLoad load) {
    JobSpec spec = load.example();
    boolean hasWaitObjective = deadlines.waitObjective(spec.jobClass()).isPresent();
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return hasWaitObjective ? expectedReplicas(load) : 0;
    }
    if (hasWaitObjective) {
      double variance = load.runningTasks() * load.tasksPerJob();
      return load.runningTasks() + policy.number(Policy.Name.SPREAD) * Math.sqrt(variance);
    }
    return load.runningTasks() / targetUtilization(spec);
  }

  private double expectedReplicas(ArrivalRates.ClassLoad load) {
    double jobs = load.jobsPerSecond() * policy.number(Policy.Name.SERVICE_AHEAD);
    double margin = policy.number(Policy.Name.SPREAD) * Math.sqrt(jobs);
    return (jobs + margin) * load.tasksPerJob();
  }

  /**
   * Returns the planned ratio of running tasks to capacity. It is higher for jobs whose deadlines
   * an instance requested on demand can meet.
   */
  private double targetUtilization(JobSpec spec) {
    long slackMicros =
        spec.deadlineMicros()
            - scheduler.estimates().runMicros(spec)
            - StartDeadlines.COMPLETION_DELAY_MICROS;
    boolean hasSlack = slackMicros > ON_DEMAND_SLACK_STARTS * catalog.minStartDelayMicros(spec);
    return policy.number(hasSlack ? Policy.Name.FILL_WITH_SLACK : Policy.Name.FILL);
  }
}
