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
 * The transaction that gives a shard's key a new owner, or the same owner a new term. One at a time
 * is in flight. It is conditional on the shard's key, on the counter of terms, and on this
 * controller's liveness key: a write of a former incarnation must not take anything.
 */
final class ShardTransaction {
  private static final Logger LOG = LoggerFactory.getLogger(ShardTransaction.class);

  /** Until the next transaction after one that was not executed. */
  private static final long BACK_OFF_MICROS = 400_000;

  private static final int WRITES = 2;

  /** Is notified when a transaction in this controller's favour is contained in the cache. */
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
  private long backOffUntilMicros;
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

  /** Advances the time; returns whether a transaction may be sent. */
  boolean ready(long now) {
    nowMicros = now;
    return !inFlight && now >= backOffUntilMicros;
  }

  /**
   * Sends the transaction, if authority and write tokens allow; returns whether it was sent.
   *
   * @param newOwner the node that is to own the shard
   * @param incarnation that node's incarnation
   * @param extraConditions further keys with the revisions that they must have
   */
  boolean trySend(int shard, String newOwner, long incarnation, Map<String, Long> extraConditions) {
    if (!authority.permits(ControlAction.TRANSFER_SHARD, shard)
        || !stateStore.tryAcquireWrites(WRITES, 0)) {
      return false;
    }
    String counterKey = MembershipKeys.TERM_COUNTER;
    long lastDrawn = MembershipCodec.termCounter(stateStore.get(counterKey));
    ShardRecord record = new ShardRecord(newOwner, incarnation, shards.nextTerm(shard, lastDrawn));
    Map<String, Long> conditions = new LinkedHashMap<>(extraConditions);
    conditions.put(table.key(shard), table.revision(shard));
    conditions.put(counterKey, stateStore.modRevision(counterKey));
    conditions.put(lease.ownKey(), stateStore.modRevision(lease.ownKey()));
    List<Mutation> writes =
        List.of(
            Mutation.put(table.key(shard), MembershipCodec.encode(record)),
            Mutation.put(counterKey, MembershipCodec.encodeTermCounter(record.term())));
    inFlight = true;
    stateStore.commit(conditions, writes, outcome -> onOutcome(outcome, shard, record));
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
    backOffUntilMicros = nowMicros + BACK_OFF_MICROS;
  }

  private void onCommitted(long revision, int shard, ShardRecord record) {
    LOG.info("shard transferred shard={} owner={} term={}", shard, record.owner(), record.term());
    shards.onWritten(shard, record.term());
    if (record.owner().equals(node)) {
      // Earlier transactions in doubt are void now; wait until the cache holds all that were not.
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
