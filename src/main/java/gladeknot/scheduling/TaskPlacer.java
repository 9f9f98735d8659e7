package gladeknot.scheduling;

import gladeknot.commit.TransactionCommitter;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tasks.TaskRequirements;

/** Places the pending tasks of the scheduled shard's slices on machines with free resources. */
final class TaskPlacer {
  private final Membership membership;
  private final SliceRegistry slices;
  private final TransactionCommitter committer;
  private final NodeSelector selector;
  private final TaskStarter starter;
  private final GangPlacer gangPlacer;

  TaskPlacer(
      Membership membership,
      SliceRegistry slices,
      TransactionCommitter committer,
      NodeSelector selector,
      TaskStarter starter,
      GangPlacer gangPlacer) {
    this.membership = membership;
    this.slices = slices;
    this.committer = committer;
    this.selector = selector;
    this.starter = starter;
    this.gangPlacer = gangPlacer;
  }

  /**
   * Starts the tasks of a slice of the scheduled shard that can start now.
   *
   * @return the number of tasks that are within quota but found no machine
   */
  int place(PendingSlice pending, SchedulingCycle cycle) {
    Slice slice = pending.slice();
    if (cycle.nowMicros() < slice.backoffUntilMicros()
        || (committer.isInFlight(slice) && !slice.pendingClaims().isEmpty())) {
      return 0;
    }
    return pending.isGang()
        ? gangPlacer.place(pending, cycle)
        : placeIndependentTasks(pending, cycle);
  }

  private int placeIndependentTasks(PendingSlice pending, SchedulingCycle cycle) {
    Slice slice = pending.slice();
    JobSpec spec = pending.spec();
    int pendingTasks = slice.pendingCount();
    int allowed = cycle.quota().allowedTasks(spec);
    if (allowed < pendingTasks) {
      cycle.requestQuota(spec, pendingTasks, allowed);
    }
    int wanted = Math.min(pendingTasks, allowed);
    int count = Math.min(wanted, starter.recordCapacity(slice));
    boolean recordFull = count < wanted;
    if (pending.limitedToOneTask()) {
      count = Math.min(count, 1);
    }
    int placed = startTasks(pending, count, cycle);
    cycle.quota().charge(spec, placed);
    if (recordFull && placed == count && selectMachine(spec, cycle) != null) {
      membership.format().reportSegmentFull();
    }
    return count - placed;
  }

  /** Starts up to {@code count} tasks. Returns the number of tasks that found a machine. */
  private int startTasks(PendingSlice pending, int count, SchedulingCycle cycle) {
    Slice slice = pending.slice();
    TaskRequirements requirements = pending.requirements();
    int placed = 0;
    int task = slice.nextPending(0);
    while (placed < count && task >= 0 && !cycle.isInfeasible(requirements)) {
      CandidateMachine machine = selectMachine(pending.spec(), cycle);
      if (machine == null) {
        cycle.markInfeasible(requirements);
        break;
      }
      starter.start(slice, task, slice.nextAttemptNumber(), machine, cycle.nowMicros());
      placed++;
      task = slice.nextPending(task + 1);
    }
    return placed;
  }

  private CandidateMachine selectMachine(JobSpec spec, SchedulingCycle cycle) {
    return selector.select(spec, cycle, null, ZoneCounts.of(spec, slices));
  }
}
