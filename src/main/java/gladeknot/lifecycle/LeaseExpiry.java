package gladeknot.lifecycle;

import gladeknot.membership.Membership;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.List;

/**
 * Finds attempts whose worker's lease has provably expired, so that the worker itself has killed
 * them.
 */
final class LeaseExpiry {
  private final Membership membership;
  private final SliceRegistry slices;
  private final WorkerRegistry workers;
  private final AttemptTracker attempts;

  LeaseExpiry(
      Membership membership,
      SliceRegistry slices,
      WorkerRegistry workers,
      AttemptTracker attempts) {
    this.membership = membership;
    this.slices = slices;
    this.workers = workers;
    this.attempts = attempts;
  }

  /**
   * Closes the attempts of an owned shard whose leases have expired or whose machines were
   * released.
   */
  void check(int shard) {
    // Other controllers may have renewed leases until the shard was acquired and until the latest
    // delegation ended, so leases count from the later of both times.
    long shardRenewedMicros =
        Math.max(membership.ownedSinceMicros(shard), membership.delegatedUntilMicros(shard));
    long expiredAfterMicros = membership.times().expiredAfterMicros();
    for (Slice slice : List.copyOf(slices.inShard(shard))) {
      for (Attempt attempt : List.copyOf(slice.attemptsByTask().values())) {
        if (!attempt.closed() && attempt.committed()) {
          check(attempt, shard, shardRenewedMicros, expiredAfterMicros);
        }
      }
    }
  }

  private void check(Attempt attempt, int shard, long shardRenewedMicros, long expiredAfterMicros) {
    Worker worker = workers.get(attempt.host());
    if (worker == null || !worker.registered()) {
      // The machine's record is deleted only after the cloud has confirmed the release.
      attempts.onLost(attempt, LossReason.WORKER_RELEASED);
      return;
    }
    // The lease counts from the start of the attempt at the earliest: a new machine whose first
    // heartbeat waits for its answer has not been answered yet.
    long workerRenewedMicros = Math.max(worker.answeredMicros(), attempt.decidedMicros());
    if (attempts.nowMicros() - Math.max(workerRenewedMicros, shardRenewedMicros)
        > expiredAfterMicros) {
      attempt.expireLease(membership.delegationRevision(shard));
      attempts.onLost(attempt, LossReason.LEASE_EXPIRED);
    }
  }
}
