package gladeknot.fleet;

import gladeknot.workers.WorkerRegistry;

/** Bounds what one round of planning costs, whatever the number of pending tasks. */
final class PlanningLimits {
  private static final int MIN_TASKS = 3000;

  /** With so many tasks a machine, every machine can get a task that fills it. */
  private static final int TASKS_PER_MACHINE = 2;

  private final WorkerRegistry workers;
  private final ScaleOutRequests requests;

  PlanningLimits(WorkerRegistry workers, ScaleOutRequests requests) {
    this.workers = workers;
    this.requests = requests;
  }

  /** How many tasks a round looks at; instances in flight count as machines. */
  int maxTasks() {
    int machines = workers.all().size() + requests.instancesInFlight();
    return Math.max(MIN_TASKS, TASKS_PER_MACHINE * machines);
  }
}
