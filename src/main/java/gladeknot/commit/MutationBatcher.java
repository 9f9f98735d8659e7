package gladeknot.commit;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import java.util.Objects;

/** Adds waiting changes of keys and fields to a transaction. */
final class MutationBatcher {
  private final Membership membership;
  private final PendingChanges pending;

  MutationBatcher(Membership membership, PendingChanges pending) {
    this.membership = membership;
    this.pending = pending;
  }

  /** Adds what fits within a number of operations, fields first. */
  void addTo(TransactionBatch batch, int maxOperations) {
    for (int left = pending.fieldMutationCount(); left > 0; left--) {
      add(pending.takeFieldMutation(), batch, maxOperations);
    }
    int left = pending.keyMutationCount();
    while (left > 0 && batch.operationCount() < maxOperations) {
      add(pending.takeKeyMutation(), batch);
      left--;
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
    String present = batch.fieldAfter(mutation.key(), mutation.field());
    if (!Objects.equals(present, mutation.expected())) {
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
    if (!mutation.stillHolds().getAsBoolean()) {
      mutation.callback().onOutcome(false);
      return;
    }
    if (batch.requiresAny(mutation.conditions().keySet())) {
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
