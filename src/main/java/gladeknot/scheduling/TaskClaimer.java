package gladeknot.scheduling;

import gladeknot.commit.TransactionCommitter;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.BitSet;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims pending tasks of other shards that can start at once in the scheduled shard. The claim and
 * the attempts are committed in one transaction, which fails if the other shard has started them.
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
   * Claims what it can of another shard's slice.
   *
   * @return how many of its tasks found no machine
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
      // Its stored record is being written. Resources stay reserved until then: if others got
      // them, those would be preempted for it again.
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

  /** How many tasks may be claimed now; 0 if none. */
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

  /** Claims up to so many tasks, namely those that start; returns how many. */
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
