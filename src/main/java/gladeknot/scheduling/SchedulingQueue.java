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

/** The slices with pending tasks, in the order in which they are scheduled. */
final class SchedulingQueue {
  /** Beyond its objective, a guaranteed job keeps precedence for so long. */
  private static final long GUARANTEE_MARGIN_MICROS = 1_000_000;

  private static final long NO_LIMIT_MICROS = Long.MAX_VALUE / 4;

  private final Policy policy;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final TeamGuarantees guarantees;
  private final DeadlineOrder deadlineOrder;

  /** Within what time a guaranteed job is meant to get its resources. */
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
    long within = NO_LIMIT_MICROS;
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind() == ObjectiveKind.GUARANTEE) {
        within = objective.withinMicros();
      }
    }
    return within;
  }

  /**
   * What one shard's cycle considers: its own pending slices, and those of other shards once their
   * tasks have been pending for a while. Also notes on all slices since when they are pending.
   */
  List<PendingSlice> forCycle(int shard, long nowMicros, long wallMicros) {
    List<PendingSlice> queue = new ArrayList<>();
    for (int from = 0; from < membership.shardCount(); from++) {
      addPending(from, from != shard, nowMicros, wallMicros, queue);
    }
    queue.sort(PendingSlice::compareForCycle);
    return queue;
  }

  private void addPending(
      int shard, boolean remote, long nowMicros, long wallMicros, List<PendingSlice> queue) {
    long starveMicros = policy.micros(Policy.Name.STARVE_AFTER);
    long claimMicros = policy.micros(Policy.Name.CLAIM_AFTER);
    for (Slice slice : slices.inShard(shard)) {
      Job job = jobs.active(slice.job());
      if (job == null || slice.pendingCount() == 0) {
        slice.clearPending();
        continue;
      }
      slice.markPending(nowMicros);
      if (!remote || nowMicros - slice.pendingSinceMicros() >= claimMicros) {
        queue.add(pending(slice, job, remote, starveMicros, wallMicros));
      }
    }
  }

  /** All pending slices that aren't backing off, in the order in which scale-out serves them. */
  List<PendingSlice> forDemand(long nowMicros, long wallMicros) {
    long starveMicros = policy.micros(Policy.Name.STARVE_AFTER);
    List<PendingSlice> queue = new ArrayList<>();
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      boolean remote = !membership.permits(ControlAction.SCHEDULE, shard);
      for (Slice slice : slices.inShard(shard)) {
        Job job = jobs.active(slice.job());
        if (job != null && slice.pendingCount() > 0 && nowMicros >= slice.backoffUntilMicros()) {
          queue.add(pending(slice, job, remote, starveMicros, wallMicros));
        }
      }
    }
    queue.sort(PendingSlice::compareForDemand);
    return queue;
  }

  private PendingSlice pending(
      Slice slice, Job job, boolean remote, long starveMicros, long wallMicros) {
    long age = wallMicros - job.readyMicros();
    // Work that newer work takes precedence over would never start under a steady load. For an
    // array one task is enough: starting all of it would make the rest late as well.
    boolean starving = age > starveMicros && (job.spec().unsplit() || !hasStarted(job));
    // A guarantee is for new work: what is older has missed it, and would now only keep others from
    // their deadlines.
    boolean guaranteed =
        guarantees.isGuaranteed(job.id()) && age < guaranteeMicros + GUARANTEE_MARGIN_MICROS;
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
