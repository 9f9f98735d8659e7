package gladeknot.app;

import gladeknot.workers.Heartbeat;
import gladeknot.workers.HeartbeatHandler;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerCommand;
import java.util.List;

/** Connects the heartbeat handler to the task lifecycle, the scheduler and the fleet. */
final class ReconcilerAdapter implements HeartbeatHandler.Reconciler {
  private final ControllerComponents components;

  ReconcilerAdapter(ControllerComponents components) {
    this.components = components;
  }

  @Override
  public List<WorkerCommand> reconcile(Worker worker, Heartbeat heartbeat) {
    return components.lifecycle.reconcile(worker, heartbeat);
  }

  /**
   * Runs a scheduling round if one is due, and returns the number of the round that the caller has
   * to wait for: the next round if scheduling is still needed, otherwise the last completed one.
   */
  @Override
  public long requestScheduling() {
    components.scheduler.runIfNeeded();
    int pending = components.lifecycle.isSchedulingNeeded() ? 1 : 0;
    return components.scheduler.completedRounds() + pending;
  }

  @Override
  public long completedRounds() {
    return components.scheduler.completedRounds();
  }

  @Override
  public void onWorkerRestart(Worker worker, Heartbeat heartbeat) {
    components.lifecycle.onWorkerRestart(worker, heartbeat);
  }

  @Override
  public List<WorkerCommand> killsForFinishedJobs(Heartbeat heartbeat) {
    return components.lifecycle.killsForFinishedJobs(heartbeat);
  }

  @Override
  public boolean isSteady(Worker worker) {
    return components.lifecycle.isSteady(worker);
  }

  @Override
  public boolean awaitsEnd(Worker worker) {
    return components.lifecycle.hasUncommittedEnd(
        worker, slice -> components.quota.isShort(slice.team()));
  }

  @Override
  public void registerUnknownWorker(Heartbeat heartbeat) {
    components.fleet.registerUnknownWorker(heartbeat);
  }
}
