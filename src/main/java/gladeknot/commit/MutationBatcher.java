package gladeknot.commit;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import java.util.Objects;

/** Adds pending key and field mutations to a transaction. */
final class MutationBatcher {
  private final Membership membership;
  private final PendingChanges pending;
  private final RejectedChanges rejected;

  MutationBatcher(Membership membership, PendingChanges pending, RejectedChanges rejected) {
    this.membership = membership;
    this.pending = pending;
    this.rejected = rejected;
  }

  /** Adds as many mutations as fit into a number of operations, field mutations first. */
  void addTo(TransactionBatch batch, int maxOperations) {
    for (int remaining = pending.fieldMutationCount(); remaining > 0; remaining--) {
      FieldMutation mutation = pending.takeFieldMutation();
      if (rejected.isSuspect(mutation)) {
        pending.submit(mutation);
      } else {
        add(mutation, batch, maxOperations);
      }
    }
    int remaining = pending.keyMutationCount();
    while (remaining > 0 && batch.operationCount() < maxOperations) {
      KeyMutation mutation = pending.takeKeyMutation();
      if (rejected.isSuspect(mutation)) {
        pending.submit(mutation);
      } else {
        add(mutation, batch);
      }
      remaining--;
    }
  }

  /** Adds one mutation that has to be committed alone, if there is any. */
  void addSuspectTo(TransactionBatch batch) {
    for (int i = pending.fieldMutationCount(); i > 0 && batch.isEmpty(); i--) {
      FieldMutation mutation = pending.takeFieldMutation();
      if (rejected.isSuspect(mutation)) {
        add(mutation, batch, 1);
      } else {
        pending.submit(mutation);
      }
    }
    for (int i = pending.keyMutationCount(); i > 0 && batch.isEmpty(); i--) {
      KeyMutation mutation = pending.takeKeyMutation();
      if (rejected.isSuspect(mutation)) {
        add(mutation, batch);
      } else {
        pending.submit(mutation);
      }
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
    if (rejected.wasRejected(mutation)) {
      mutation.callback().onOutcome(false);
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
    if (rejected.wasRejected(mutation) || !mutation.stillValid().getAsBoolean()) {
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
