package gladeknot.app;

import gladeknot.fleet.SchedulerView;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.scheduling.PendingDemand;
import gladeknot.scheduling.Scheduler;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.workers.Worker;
import java.util.ArrayList;
import java.util.List;

/** Gives the fleet a view of the scheduler, so that neither package depends on the other. */
final class FleetSchedulerView implements SchedulerView {
  private final Scheduler scheduler;

  FleetSchedulerView(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  @Override
  public List<PendingTasks> pendingTasks() {
    List<PendingTasks> pendingTasks = new ArrayList<>();
    for (PendingDemand demand : scheduler.pendingDemand()) {
      pendingTasks.add(
          new PendingTasks(
              demand.job(),
              demand.shard(),
              demand.count(),
              demand.owned(),
              demand.starving(),
              demand.tasksByZone()));
    }
    return pendingTasks;
  }

  @Override
  public RuntimeEstimates estimates() {
    return scheduler.estimates();
  }

  @Override
  public long expectedEndMicros(Attempt attempt) {
    return scheduler.expectedEndMicros(attempt);
  }

  @Override
  public int replicas(Worker worker) {
    return scheduler.replicas(worker);
  }

  @Override
  public List<Job> services() {
    return scheduler.services();
  }

  @Override
  public long latestEndMicros(Job job) {
    return scheduler.latestEndMicros(job);
  }

  @Override
  public JobSpec.Priority priority(Attempt attempt) {
    return scheduler.priority(attempt);
  }

  @Override
  public boolean isSchedulable(Worker worker) {
    return scheduler.isSchedulable(worker);
  }
}
