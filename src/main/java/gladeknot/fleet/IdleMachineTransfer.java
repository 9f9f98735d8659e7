package gladeknot.fleet;

import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Transfers idle machines of this controller's shards to another owner's shard in which a gang
 * waits for machines. A gang has to run on the machines of one shard.
 */
final class IdleMachineTransfer {
  private static final Logger LOG = LoggerFactory.getLogger(IdleMachineTransfer.class);

  private final Membership membership;
  private final WorkerRegistry workers;
  private final WorkerRecords records;
  private final InstanceCatalog catalog;
  private final SchedulerView scheduler;

  IdleMachineTransfer(
      Membership membership,
      WorkerRegistry workers,
      WorkerRecords records,
      InstanceCatalog catalog,
      SchedulerView scheduler) {
    this.membership = membership;
    this.workers = workers;
    this.records = records;
    this.catalog = catalog;
    this.scheduler = scheduler;
  }

  /**
   * Transfers at most one machine, to the first pending gang of another owner's shard that can use
   * one.
   */
  void run(List<SchedulerView.PendingTasks> queue) {
    for (SchedulerView.PendingTasks pending : queue) {
      boolean gang = pending.job().spec().shape() == JobSpec.Shape.GANG && pending.count() > 1;
      if (!pending.owned() && gang && transferFor(pending)) {
        return;
      }
    }
  }

  private boolean transferFor(SchedulerView.PendingTasks pending) {
    JobSpec spec = pending.job().spec();
    for (Worker worker : workers.all()) {
      if (isTransferable(worker) && canRunTask(worker, spec)) {
        transfer(worker, pending.shard(), spec.id());
        return true;
      }
    }
    return false;
  }

  private boolean isTransferable(Worker worker) {
    return membership.permits(ControlAction.SCALE_IN, worker.shard())
        && scheduler.isSchedulable(worker)
        && worker.attempts().isEmpty()
        && worker.heartbeat().tasks().isEmpty();
  }

  private boolean canRunTask(Worker worker, JobSpec spec) {
    if (!spec.allowsMachine(worker.type(), worker.zone(), worker.spot())) {
      return false;
    }
    MachineType type = catalog.type(worker.type());
    return type != null && type.mayRun(spec);
  }

  /**
   * Transfers a worker to another shard. The worker has seen this owner's term, so the new owner
   * has to raise its own term above that before it may answer the worker.
   */
  private void transfer(Worker worker, int toShard, String jobId) {
    LOG.info(
        "machine transferred host={} from_shard={} to_shard={} job={}",
        worker.host(),
        worker.shard(),
        toShard,
        jobId);
    worker.setReleasing(true);
    records.transfer(worker, toShard, committed -> worker.setReleasing(false));
  }
}
