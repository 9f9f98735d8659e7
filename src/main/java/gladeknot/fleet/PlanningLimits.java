package gladeknot.fleet;

import gladeknot.workers.WorkerRegistry;

/** Limits the cost of one round of planning, whatever the number of pending tasks. */
final class PlanningLimits {
  private static final int MIN_TASKS = 3000;

  /** Maximum number of tasks per machine. With it every machine can get a task that fills it. */
  private static final int TASKS_PER_MACHINE = 2;

  private final WorkerRegistry workers;
  private final ScaleOutRequests requests;

  PlanningLimits(WorkerRegistry workers, ScaleOutRequests requests) {
    this.workers = workers;
    this.requests = requests;
  }

  /**
   * Returns the maximum number of tasks that a round places. Instances in flight count as machines.
   */
  int maxTasks() {
    int machines = workers.all().size() + requests.instancesInFlight();
    return Math.max(MIN_TASKS, TASKS_PER_MACHINE * machines);
  }
}
