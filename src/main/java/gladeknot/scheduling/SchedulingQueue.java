package gladeknot.scheduling;

import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.policy.Policy;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import java.util.ArrayList;
import java.util.List;

/** Queue of the slices with pending tasks, in the order in which they are scheduled. */
final class SchedulingQueue {
  /**
   * Time for which a guaranteed job keeps its precedence after the time of the guarantee objective,
   * in microseconds.
   */
  private static final long GUARANTEE_MARGIN_MICROS = 1_000_000;

  private static final long NO_LIMIT_MICROS = Long.MAX_VALUE / 4;

  private final Policy policy;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final TeamGuarantees guarantees;
  private final DeadlineOrder deadlineOrder;

  /** Time within which a guaranteed job should get its resources, in microseconds. */
  private final long guaranteeMicros;

  SchedulingQueue(
      Settings settings,
      Policy policy,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      TeamGuarantees guarantees,
      DeadlineOrder deadlineOrder) {
    this.policy = policy;
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.guarantees = guarantees;
    this.deadlineOrder = deadlineOrder;
    this.guaranteeMicros = guaranteeMicros(settings);
  }

  private static long guaranteeMicros(Settings settings) {
    long withinMicros = NO_LIMIT_MICROS;
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind() == ObjectiveKind.GUARANTEE) {
        withinMicros = objective.withinMicros();
      }
    }
    return withinMicros;
  }

  /**
   * Returns the pending slices for the cycle of one shard: those of the shard, and those of other
   * shards whose tasks have been pending for {@link Policy.Name#CLAIM_AFTER}. Also records on every
   * slice since when it has been pending.
   */
  List<PendingSlice> forCycle(int shard, long nowMicros, long wallMicros) {
    List<PendingSlice> queue = new ArrayList<>();
    for (int sliceShard = 0; sliceShard < membership.shardCount(); sliceShard++) {
      addPending(sliceShard, sliceShard != shard, nowMicros, wallMicros, queue);
    }
    queue.sort(PendingSlice::compareForCycle);
    return queue;
  }

  private void addPending(
      int shard, boolean remote, long nowMicros, long wallMicros, List<PendingSlice> queue) {
    long starveAfterMicros = policy.micros(Policy.Name.STARVE_AFTER);
    long claimAfterMicros = policy.micros(Policy.Name.CLAIM_AFTER);
    for (Slice slice : slices.inShard(shard)) {
      Job job = jobs.active(slice.job());
      if (job == null || slice.pendingCount() == 0) {
        slice.clearPending();
        continue;
      }
      slice.markPending(nowMicros);
      if (!remote || nowMicros - slice.pendingSinceMicros() >= claimAfterMicros) {
        queue.add(pending(slice, job, remote, starveAfterMicros, wallMicros));
      }
    }
  }

  /** Returns all pending slices that are not in backoff, in the order of scale-out. */
  List<PendingSlice> forDemand(long nowMicros, long wallMicros) {
    long starveAfterMicros = policy.micros(Policy.Name.STARVE_AFTER);
    List<PendingSlice> queue = new ArrayList<>();
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      boolean remote = !membership.permits(ControlAction.SCHEDULE, shard);
      for (Slice slice : slices.inShard(shard)) {
        Job job = jobs.active(slice.job());
        if (job != null && slice.pendingCount() > 0 && nowMicros >= slice.backoffUntilMicros()) {
          queue.add(pending(slice, job, remote, starveAfterMicros, wallMicros));
        }
      }
    }
    queue.sort(PendingSlice::compareForDemand);
    return queue;
  }

  private PendingSlice pending(
      Slice slice, Job job, boolean remote, long starveAfterMicros, long wallMicros) {
    long ageMicros = wallMicros - job.readyMicros();
    // Under steady load, a job that newer jobs take precedence over would never start. One started
    // task of an array is enough: starting all its tasks would make the other jobs late as well.
    boolean starving = ageMicros > starveAfterMicros && (job.spec().unsplit() || !hasStarted(job));
    // A guarantee applies to new jobs. An older job has already missed it, and its precedence would
    // only make other jobs miss their deadlines.
    boolean guaranteed =
        guarantees.isGuaranteed(job.id()) && ageMicros < guaranteeMicros + GUARANTEE_MARGIN_MICROS;
    return new PendingSlice(
        slice,
        job,
        deadlineOrder.priority(job),
        remote,
        starving,
        guaranteed,
        deadlineOrder.key(job));
  }

  private boolean hasStarted(Job job) {
    for (Slice slice : slices.ofJob(job.id())) {
      if (slice.liveCount() > 0 || !slice.done().isEmpty()) {
        return true;
      }
    }
    return false;
  }
}
