package gladeknot.membership;

import gladeknot.connectivity.Authority;
import gladeknot.connectivity.ControlAction;
import gladeknot.settings.Settings;
import gladeknot.state.CommitOutcome;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The transaction that writes a new owner, or a new term of the same owner, to a shard's key. At
 * most one is in flight. The transaction is conditional on the shard's key, on the term counter,
 * and on this controller's liveness key. The last condition keeps a delayed write of a former
 * incarnation from taking a shard.
 */
final class ShardTransaction {
  private static final Logger LOG = LoggerFactory.getLogger(ShardTransaction.class);

  /** Backoff after a transaction that was not executed or got no answer, in microseconds. */
  private static final long BACKOFF_MICROS = 400_000;

  /** Number of keys that the transaction writes: the shard's key and the term counter. */
  private static final int WRITE_COUNT = 2;

  /** Receives notice when the cache shows a transaction that made this controller the owner. */
  interface Listener {
    void onTaken(int shard);
  }

  private final String node;
  private final StateStore stateStore;
  private final ShardTable table;
  private final StateLease lease;
  private final OwnedShards shards;
  private final Authority authority;
  private final Listener listener;
  private boolean inFlight;
  private long backoffUntilMicros;
  private long nowMicros;

  ShardTransaction(
      Settings settings,
      StateStore stateStore,
      ShardTable table,
      StateLease lease,
      OwnedShards shards,
      Authority authority,
      Listener listener) {
    this.node = settings.node();
    this.stateStore = stateStore;
    this.table = table;
    this.lease = lease;
    this.shards = shards;
    this.authority = authority;
    this.listener = listener;
  }

  /** Sets the current time. Returns whether a transaction may be sent. */
  boolean ready(long currentMicros) {
    nowMicros = currentMicros;
    return !inFlight && currentMicros >= backoffUntilMicros;
  }

  /**
   * Sends the transaction if the authority permits it and write tokens are available. Returns
   * whether it was sent.
   *
   * @param newOwner the node that is to own the shard
   * @param incarnation that node's incarnation
   * @param extraPreconditions required revisions of further keys, by key
   */
  boolean trySend(
      int shard, String newOwner, long incarnation, Map<String, Long> extraPreconditions) {
    if (!authority.permits(ControlAction.TRANSFER_SHARD, shard)
        || !stateStore.tryAcquireWrites(WRITE_COUNT, 0)) {
      return false;
    }
    String counterKey = MembershipKeys.TERM_COUNTER;
    long lastDrawnTerm = MembershipCodec.termCounter(stateStore.get(counterKey));
    ShardRecord record =
        new ShardRecord(newOwner, incarnation, shards.nextTerm(shard, lastDrawnTerm));
    Map<String, Long> preconditions = new LinkedHashMap<>(extraPreconditions);
    preconditions.put(table.key(shard), table.revision(shard));
    preconditions.put(counterKey, stateStore.modRevision(counterKey));
    preconditions.put(lease.ownKey(), stateStore.modRevision(lease.ownKey()));
    List<Mutation> writes =
        List.of(
            Mutation.put(table.key(shard), MembershipCodec.encode(record)),
            Mutation.put(counterKey, MembershipCodec.encodeTermCounter(record.term())));
    inFlight = true;
    stateStore.commit(preconditions, writes, outcome -> onOutcome(outcome, shard, record));
    return true;
  }

  private void onOutcome(CommitOutcome outcome, int shard, ShardRecord record) {
    switch (outcome.status()) {
      case COMMITTED -> onCommitted(outcome.revision(), shard, record);
      case CONFLICT -> stateStore.whenRevisionReached(outcome.revision(), () -> inFlight = false);
      case UNKNOWN -> {
        inFlight = false;
        shards.markInDoubt(shard);
        backOff();
      }
      case UNAVAILABLE, THROTTLED, REJECTED -> {
        inFlight = false;
        backOff();
      }
    }
  }

  private void backOff() {
    backoffUntilMicros = nowMicros + BACKOFF_MICROS;
  }

  private void onCommitted(long revision, int shard, ShardRecord record) {
    LOG.info("shard transferred shard={} owner={} term={}", shard, record.owner(), record.term());
    shards.onWritten(shard, record.term());
    if (record.owner().equals(node)) {
      // The new term voids earlier transactions in doubt that were not executed. Wait until the
      // cache holds those that were executed.
      stateStore.whenRevisionReached(revision, () -> onTaken(shard, record.incarnation()));
    } else {
      inFlight = false;
      shards.release(shard);
    }
  }

  private void onTaken(int shard, long incarnation) {
    inFlight = false;
    shards.clearDoubt(shard);
    if (incarnation == lease.incarnation()
        && table.record(shard).isOwnedBy(node, lease.incarnation())) {
      listener.onTaken(shard);
    }
  }
}
