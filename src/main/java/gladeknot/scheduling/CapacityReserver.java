package gladeknot.scheduling;

import gladeknot.commit.TransactionCommitter;
import gladeknot.jobs.JobSpec;
import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.policy.Policy;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tasks.TaskRequirements;
import gladeknot.workers.WorkerRegistry;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reserves resources for pending tasks that found no machine. It reserves resources that
 * terminating tasks are about to free. Once the pending tasks have waited long enough, it also
 * preempts running tasks and reserves their resources.
 */
final class CapacityReserver {
  private static final Logger LOG = LoggerFactory.getLogger(CapacityReserver.class);

  /**
   * Additional wait before a shard preempts for another shard's tasks, in microseconds for each
   * step from that shard in the order of shards.
   */
  private static final long REMOTE_PREEMPTION_DELAY_MICROS = 1_500_000;

  private final Policy policy;
  private final Membership membership;
  private final SliceRegistry slices;
  private final WorkerRegistry workers;
  private final TransactionCommitter committer;
  private final TaskLifecycle lifecycle;
  private final Preemption preemption;
  private final TeamGuarantees guarantees;
  private final NodeScorer scorer;
  private final GangReservations gangReservations;

  CapacityReserver(
      Policy policy,
      Membership membership,
      SliceRegistry slices,
      WorkerRegistry workers,
      TransactionCommitter committer,
      TaskLifecycle lifecycle,
      Preemption preemption,
      TeamGuarantees guarantees,
      NodeScorer scorer,
      GangReservations gangReservations) {
    this.policy = policy;
    this.membership = membership;
    this.slices = slices;
    this.workers = workers;
    this.committer = committer;
    this.lifecycle = lifecycle;
    this.preemption = preemption;
    this.guarantees = guarantees;
    this.scorer = scorer;
    this.gangReservations = gangReservations;
  }

  /** Reserves resources for up to {@code count} pending tasks of a slice. */
  void reserve(PendingSlice pending, int count, SchedulingCycle cycle) {
    JobSpec spec = pending.spec();
    PreemptionRequest request = preemptionRequest(pending, cycle);
    TaskRequirements requirements = pending.requirements();
    if (!pending.isGang() && request == null && cycle.isInfeasibleAfterTermination(requirements)) {
      return;
    }
    Map<String, Integer> tasksByZone = ZoneCounts.of(spec, slices);
    ReservationPlan plan =
        new ReservationPlan(spec, cycle, preemption, scorer, request, tasksByZone);
    if (!plan.findOptions()) {
      cycle.markInfeasibleAfterTermination(requirements);
    }
    int unreserved = plan.reserve(count);
    if (!pending.isGang() || unreserved == 0) {
      preempt(plan, spec, cycle);
      reserveQuota(spec, count - unreserved, cycle);
    } else {
      gangReservations.reserveMachines(spec, unreserved, cycle, tasksByZone);
    }
  }

  /**
   * Returns the request that determines which tasks may be preempted for a slice now; null if no
   * task may be preempted. Shards that have free resources should start the tasks first. A shard
   * that would have to preempt for another shard's tasks therefore waits longer than that shard and
   * the shards between the two in the order of shards.
   */
  private PreemptionRequest preemptionRequest(PendingSlice pending, SchedulingCycle cycle) {
    boolean remoteInFlight = pending.remote() && committer.isInFlight(pending.slice());
    if (remoteInFlight) {
      return null;
    }
    long waitedMicros = cycle.nowMicros() - pending.slice().pendingSinceMicros();
    int distance = Math.floorMod(cycle.shard() - pending.slice().shard(), membership.shardCount());
    if (waitedMicros
        < policy.micros(Policy.Name.STOP_AFTER) + distance * REMOTE_PREEMPTION_DELAY_MICROS) {
      return null;
    }
    boolean equalPriority =
        pending.guaranteed() && waitedMicros >= policy.micros(Policy.Name.STOP_EQUAL_AFTER);
    PreemptionRequest request = preemption.request(pending.spec(), equalPriority);
    boolean hasVictims =
        preemption.hasVictims(request, workers.inShard(cycle.shard()), cycle.nowMicros());
    return hasVictims ? request : null;
  }

  private void preempt(ReservationPlan plan, JobSpec spec, SchedulingCycle cycle) {
    for (Attempt victim : plan.victims()) {
      LOG.info("attempt preempted attempt={} for_job={}", victim, spec.id());
      guarantees.onPreemption(victim.slice());
      cycle.onPreemption();
      lifecycle.kill(victim, preemption.gracePeriodSeconds(victim));
    }
  }

  private void reserveQuota(JobSpec spec, int tasks, SchedulingCycle cycle) {
    for (int i = 0; i < tasks; i++) {
      guarantees.onStart(spec);
      cycle.quota().reserve(spec, 1);
    }
  }
}
