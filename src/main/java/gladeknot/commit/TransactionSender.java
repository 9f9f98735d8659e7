package gladeknot.commit;

import gladeknot.state.StateStore;

/** Sends transactions as far as there are write tokens for them. */
final class TransactionSender {
  private final StateStore stateStore;
  private final CommitState state;
  private final OutcomeHandler outcomes;

  TransactionSender(StateStore stateStore, CommitState state, OutcomeHandler outcomes) {
    this.stateStore = stateStore;
    this.state = state;
    this.outcomes = outcomes;
  }

  /** Sends a transaction; returns false, and does nothing, if write tokens are missing. */
  boolean trySend(TransactionBatch batch) {
    if (!stateStore.tryAcquireWrites(batch.operationCount(), 0)) {
      return false;
    }
    state.begin(batch);
    stateStore.commit(
        batch.conditions(), batch.operations(), outcome -> outcomes.onOutcome(batch, outcome));
    return true;
  }
}
