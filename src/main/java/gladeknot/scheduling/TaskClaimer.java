package gladeknot.scheduling;

import gladeknot.commit.TransactionCommitter;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.BitSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims pending tasks of other shards that can start immediately in the scheduled shard. The claim
 * and the attempts are committed in one transaction. The transaction fails if the other shard has
 * started the tasks.
 */
final class TaskClaimer {
  private static final Logger LOG = LoggerFactory.getLogger(TaskClaimer.class);

  private final SliceRegistry slices;
  private final TransactionCommitter committer;
  private final TaskStarter starter;
  private final TaskPlacer placer;
  private final GangReservations reservations;

  TaskClaimer(
      SliceRegistry slices,
      TransactionCommitter committer,
      TaskStarter starter,
      TaskPlacer placer,
      GangReservations reservations) {
    this.slices = slices;
    this.committer = committer;
    this.starter = starter;
    this.placer = placer;
    this.reservations = reservations;
  }

  /**
   * Claims the tasks of another shard's slice that can start now.
   *
   * @return the number of the slice's tasks that found no machine
   */
  int claim(PendingSlice pending, SchedulingCycle cycle) {
    Slice remote = pending.slice();
    JobSpec spec = pending.spec();
    boolean gang = pending.isGang();
    if (gang && !remote.attemptsByTask().isEmpty()) {
      return 0;
    }
    int pendingTasks = remote.pendingCount();
    if (!gang && cycle.isInfeasible(pending.requirements())) {
      return Math.min(pendingTasks, cycle.quota().allowedTasks(spec));
    }
    if (committer.isInFlight(remote)) {
      // The record of the slice is being written. Its tasks count as unplaced meanwhile, so that
      // resources stay reserved for them. Otherwise other tasks could get these resources, and
      // would be preempted again for the tasks of the slice.
      return pendingTasks;
    }
    Slice own = slices.get(cycle.shard(), spec.id());
    if (own == null) {
      own = slices.create(cycle.shard(), pending.job());
    }
    int count = claimableTasks(pending, own, cycle);
    if (count == 0) {
      slices.discardIfEmpty(own);
      return 0;
    }
    return pendingTasks - claimTasks(pending, own, count, cycle);
  }

  /** Returns the number of tasks that may be claimed now; never negative. */
  private int claimableTasks(PendingSlice pending, Slice own, SchedulingCycle cycle) {
    Slice remote = pending.slice();
    JobSpec spec = pending.spec();
    int pendingTasks = remote.pendingCount();
    int allowed = cycle.quota().allowedTasks(spec);
    int count = Math.min(pendingTasks, Math.min(allowed, starter.recordCapacity(own)));
    if (pending.limitedToOneTask()) {
      count = Math.min(count, 1);
    }
    if (allowed < pendingTasks) {
      cycle.requestQuota(spec, pendingTasks, allowed);
      if (pending.isGang() && pending.starving()) {
        reservations.reserveQuota(pending, pendingTasks, allowed, cycle);
      }
    }
    boolean blocked =
        !own.pendingClaims().isEmpty()
            || own.pendingCount() > 0
            || cycle.nowMicros() < own.backoffUntilMicros()
            || cycle.nowMicros() < remote.backoffUntilMicros();
    boolean incompleteGang = pending.isGang() && count < pendingTasks;
    return blocked || incompleteGang ? 0 : Math.max(0, count);
  }

  /**
   * Claims those of the first {@code count} pending tasks that can start.
   *
   * @return the number of claimed tasks
   */
  private int claimTasks(PendingSlice pending, Slice own, int count, SchedulingCycle cycle) {
    Slice remote = pending.slice();
    BitSet tasks = firstPending(remote, count);
    own.assign(tasks);
    placer.place(pending.claimedBy(own), cycle);
    for (int task = tasks.nextSetBit(0); task >= 0; task = tasks.nextSetBit(task + 1)) {
      if (!own.attemptsByTask().containsKey(task)) {
        tasks.clear(task);
        own.unassign(task);
      }
    }
    if (tasks.isEmpty()) {
      slices.discardIfEmpty(own);
      return 0;
    }
    own.addClaim(remote, tasks);
    committer.markDirty(own);
    LOG.info(
        "tasks claimed job={} tasks={} from_shard={} to_shard={}",
        own.job(),
        tasks,
        remote.shard(),
        cycle.shard());
    return tasks.cardinality();
  }

  private static BitSet firstPending(Slice slice, int count) {
    BitSet tasks = new BitSet();
    int task = slice.nextPending(0);
    for (int i = 0; i < count && task >= 0; i++) {
      tasks.set(task);
      task = slice.nextPending(task + 1);
    }
    return tasks;
  }
}
