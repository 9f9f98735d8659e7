package gladeknot.lifecycle;

import gladeknot.membership.Membership;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.List;

/** Finds attempts whose worker's lease has surely expired: the worker has killed them itself. */
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

  /** Closes the attempts of an owned shard that are gone with their leases or machines. */
  void check(int shard) {
    // Whoever renewed the leases before, they count from the acquisition and the delegation on.
    long renewedMicros =
        Math.max(membership.ownedSinceMicros(shard), membership.delegatedUntilMicros(shard));
    long expiredAfterMicros = membership.times().expiredAfterMicros();
    for (Slice slice : List.copyOf(slices.inShard(shard))) {
      for (Attempt attempt : List.copyOf(slice.attemptsByTask().values())) {
        if (!attempt.closed() && attempt.committed()) {
          check(attempt, shard, renewedMicros, expiredAfterMicros);
        }
      }
    }
  }

  private void check(Attempt attempt, int shard, long renewedMicros, long expiredAfterMicros) {
    Worker worker = workers.get(attempt.host());
    if (worker == null || !worker.registered()) {
      // The record is deleted only after the cloud has confirmed the release.
      attempts.lost(attempt, LossReason.WORKER_RELEASED);
      return;
    }
    // An attempt younger than a lease can't have expired: on a new machine, whose first heartbeat
    // waits for its answer, nothing has been answered yet.
    long ownRenewedMicros = Math.max(worker.answeredMicros(), attempt.decidedMicros());
    if (attempts.nowMicros() - Math.max(ownRenewedMicros, renewedMicros) > expiredAfterMicros) {
      attempt.expireLease(membership.delegationRevision(shard));
      attempts.lost(attempt, LossReason.LEASE_EXPIRED);
    }
  }
}
