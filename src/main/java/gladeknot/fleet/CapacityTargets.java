package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;

/** How many tasks of a class there should be capacity for, ahead of their arrival. */
final class CapacityTargets {
  /** A deadline with more slack than so many starts of an instance can be met on demand. */
  private static final int SLACK_STARTS = 2;

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

  /** How many tasks of a class to have capacity for; what is placed already is part of it. */
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
    return load.runningTasks() / fill(spec);
  }

  private double expectedReplicas(ArrivalRates.ClassLoad load) {
    double jobs = load.jobsPerS() * policy.number(Policy.Name.SERVICE_AHEAD);
    double margin = policy.number(Policy.Name.SPREAD) * Math.sqrt(jobs);
    return (jobs + margin) * load.tasksPerJob();
  }

  /** The share of the capacity that is in use; higher where an instance on demand is in time. */
  private double fill(JobSpec spec) {
    long slackMicros =
        spec.deadlineMicros()
            - scheduler.estimates().runMicros(spec)
            - StartDeadlines.COMPLETION_DELAY_MICROS;
    boolean slack = slackMicros > SLACK_STARTS * catalog.soonestStartMicros(spec);
    return policy.number(slack ? Policy.Name.FILL_WITH_SLACK : Policy.Name.FILL);
  }
}
