package gladeknot.commit;

import gladeknot.state.StateStore;

/** Sends transactions when enough write tokens are available. */
final class TransactionSender {
  private final StateStore stateStore;
  private final CommitState state;
  private final OutcomeHandler outcomes;

  TransactionSender(StateStore stateStore, CommitState state, OutcomeHandler outcomes) {
    this.stateStore = stateStore;
    this.state = state;
    this.outcomes = outcomes;
  }

  /** Sends a transaction, or returns false without sending it if write tokens are missing. */
  boolean trySend(TransactionBatch batch) {
    if (!stateStore.tryAcquireWrites(batch.operationCount(), 0)) {
      return false;
    }
    state.begin(batch);
    stateStore.commit(
        batch.preconditions(), batch.operations(), outcome -> outcomes.onOutcome(batch, outcome));
    return true;
  }
}
