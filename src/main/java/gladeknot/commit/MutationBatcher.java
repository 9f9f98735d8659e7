package gladeknot.commit;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import java.util.Objects;

/** Adds pending key and field mutations to a transaction. */
final class MutationBatcher {
  private final Membership membership;
  private final PendingChanges pending;

  MutationBatcher(Membership membership, PendingChanges pending) {
    this.membership = membership;
    this.pending = pending;
  }

  /** Adds as many mutations as fit into a number of operations, field mutations first. */
  void addTo(TransactionBatch batch, int maxOperations) {
    for (int remaining = pending.fieldMutationCount(); remaining > 0; remaining--) {
      add(pending.takeFieldMutation(), batch, maxOperations);
    }
    int remaining = pending.keyMutationCount();
    while (remaining > 0 && batch.operationCount() < maxOperations) {
      add(pending.takeKeyMutation(), batch);
      remaining--;
    }
  }

  private void add(FieldMutation mutation, TransactionBatch batch, int maxOperations) {
    if (!mayCommit(mutation.shard())) {
      if (isOwned(mutation.shard())) {
        pending.submit(mutation);
      } else {
        mutation.callback().onOutcome(false);
      }
      return;
    }
    if (!batch.writes(mutation.key()) && batch.operationCount() >= maxOperations) {
      pending.submit(mutation);
      return;
    }
    String current = batch.fieldAfter(mutation.key(), mutation.field());
    if (!Objects.equals(current, mutation.expected())) {
      mutation.callback().onOutcome(false);
      return;
    }
    batch.add(mutation);
    batch.requireCurrent(Membership.shardKey(mutation.shard()));
  }

  private void add(KeyMutation mutation, TransactionBatch batch) {
    if (!mayCommit(mutation.shard())) {
      if (isOwned(mutation.shard())) {
        pending.submit(mutation);
      } else {
        mutation.callback().onOutcome(false);
      }
      return;
    }
    if (!mutation.stillValid().getAsBoolean()) {
      mutation.callback().onOutcome(false);
      return;
    }
    if (batch.requiresAny(mutation.preconditions().keySet())) {
      pending.submit(mutation);
      return;
    }
    batch.add(mutation);
    batch.requireCurrent(Membership.shardKey(mutation.shard()));
  }

  private boolean mayCommit(int shard) {
    return membership.permits(ControlAction.COMMIT, shard);
  }

  private boolean isOwned(int shard) {
    return membership.ownedShards().contains(shard);
  }
}
