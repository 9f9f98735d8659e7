package gladeknot.membership;

import gladeknot.connectivity.Authority;
import gladeknot.connectivity.FailoverAdvisor;
import gladeknot.settings.Settings;
import gladeknot.state.Entry;
import gladeknot.state.StateStore;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides on ownership transfers.
 *
 * <ul>
 *   <li>Failover: this controller takes a shard once the owner's liveness key is gone or the owner
 *       has relinquished the shard in this controller's favour.
 *   <li>Handover: this controller gives an owned shard whose workers it can't reach to a node that
 *       can reach them.
 *   <li>Return: this controller gives an owned shard back to the shard's home.
 * </ul>
 */
final class ShardTransfers {
  /** Interval between two checks of the shards' owners, in microseconds. */
  private static final long CHECK_INTERVAL_MICROS = 50_000;

  /**
   * Minimum time, in microseconds, that a shard stays with a former delegate, which its workers
   * could reach, before it returns home. A delegation that ended longer ago than this does not
   * count.
   */
  private static final long FORMER_DELEGATE_RETENTION_MICROS = 45_000_000;

  private final String node;
  private final List<String> nodes;
  private final int ownIndex;
  private final StateStore stateStore;
  private final ShardTable table;
  private final StateLease lease;
  private final LeaseDelegations delegations;
  private final OwnedShards shards;
  private final FailoverAdvisor advisor;
  private final ShardListener listener;
  private final FailoverTimer failoverTimer;
  private final ShardTransaction transaction;
  private final long[] retainUntilMicros;
  private long nextCheckMicros;
  private long nowMicros;

  ShardTransfers(
      Settings settings,
      StateStore stateStore,
      ShardTable table,
      StateLease lease,
      LeaseDelegations delegations,
      OwnedShards shards,
      Authority authority,
      FailoverAdvisor advisor,
      ShardListener listener) {
    this.node = settings.node();
    this.nodes = settings.nodes();
    this.ownIndex = nodes.indexOf(node);
    this.stateStore = stateStore;
    this.table = table;
    this.lease = lease;
    this.delegations = delegations;
    this.shards = shards;
    this.advisor = advisor;
    this.listener = listener;
    this.failoverTimer =
        new FailoverTimer(ownIndex, nodes.size(), table.shardCount(), shards, advisor);
    this.transaction =
        new ShardTransaction(settings, stateStore, table, lease, shards, authority, this::acquire);
    this.retainUntilMicros = new long[table.shardCount()];
  }

  /** Checks the shards in order, if a check is due, until one of them needs a transaction. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (!transaction.ready(currentMicros) || currentMicros < nextCheckMicros) {
      return;
    }
    nextCheckMicros = currentMicros + CHECK_INTERVAL_MICROS;
    for (int shard = 0; shard < table.shardCount(); shard++) {
      if (checkShard(shard)) {
        return;
      }
    }
  }

  /** Checks one shard. Returns whether the shard needs a transaction, sent or not. */
  private boolean checkShard(int shard) {
    ShardRecord record = table.record(shard);
    if (record.isOwnedBy(node, lease.incarnation())) {
      return keepOrHandOver(shard);
    }
    shards.release(shard);
    if (!record.hasOwner() || node.equals(record.owner())) {
      return takeUnowned(shard, record);
    }
    if (StateLease.isAlive(stateStore, record.owner())) {
      failoverTimer.reset(shard);
      return takeRelinquished(shard, record);
    }
    return failOver(shard, record.owner());
  }

  /** Takes a shard that never had an owner or was owned by a former incarnation of this node. */
  private boolean takeUnowned(int shard, ShardRecord record) {
    boolean due = record.hasOwner() || isHome(shard) || failoverDelayElapsed(shard);
    return due && take(shard, Map.of());
  }

  /**
   * Takes a shard whose live owner can't reach the state service and has relinquished the shard to
   * this node.
   */
  private boolean takeRelinquished(int shard, ShardRecord record) {
    return advisor.relinquishedToThisNode(shard, record.incarnation(), record.term())
        && take(shard, Map.of());
  }

  /** Takes a shard whose owner's lease has expired. The shard's home does so without delay. */
  private boolean failOver(int shard, String expiredOwner) {
    boolean due = isHome(shard) || failoverDelayElapsed(shard);
    return due && take(shard, Map.of(MembershipKeys.liveness(expiredOwner), 0L));
  }

  private boolean failoverDelayElapsed(int shard) {
    return failoverTimer.elapsed(shard, nowMicros);
  }

  /**
   * Makes this node a shard's owner under a new term, by a transaction. Returns true even if the
   * transaction may not be sent yet, so that the following shards are not checked before it.
   */
  private boolean take(int shard, Map<String, Long> extraPreconditions) {
    transaction.trySend(shard, node, lease.incarnation(), extraPreconditions);
    return true;
  }

  /** Checks an owned shard: draws a new term if its key needs a new revision, or hands it over. */
  private boolean keepOrHandOver(int shard) {
    shards.observeTerm(shard);
    if (!shards.contains(shard)) {
      acquire(shard);
    }
    failoverTimer.reset(shard);
    if (shards.needsNewRevision(shard)) {
      return take(shard, Map.of());
    }
    Optional<String> successor = successor(shard);
    return successor.isPresent() && handOver(shard, successor.get());
  }

  /**
   * Hands a shard over if the new owner is alive. Returns whether it is, even if the transaction
   * may not be sent yet, so that the following shards are not checked before it.
   */
  private boolean handOver(int shard, String successor) {
    String liveness = MembershipKeys.liveness(successor);
    Entry entry = stateStore.get(liveness);
    if (entry == null) {
      return false;
    }
    // Until the outcome is known, no worker of the shard is answered. The new owner may therefore
    // count the workers' leases from the ownership transfer.
    long incarnation = MembershipCodec.liveness(entry).incarnation();
    Map<String, Long> livenessCondition = Map.of(liveness, entry.modRevision());
    if (transaction.trySend(shard, successor, incarnation, livenessCondition)) {
      shards.beginHandover(shard);
    }
    return true;
  }

  /** Returns the node that should own a shard instead of this node, if there is one. */
  private Optional<String> successor(int shard) {
    Optional<String> delegate = delegations.otherDelegate(shard);
    if (delegate.isPresent() && listener.mostWorkersTimedOut(shard)) {
      return delegate;
    }
    Optional<String> preferred = advisor.preferredOwner(shard);
    if (preferred.isPresent()) {
      return preferred;
    }
    return mayReturnHome(shard) ? Optional.of(homeNode(shard)) : Optional.empty();
  }

  private boolean mayReturnHome(int shard) {
    return !isHome(shard)
        && nowMicros >= retainUntilMicros[shard]
        && advisor.mayReturnHome(shard, homeNode(shard));
  }

  private boolean isHome(int shard) {
    return Membership.homeIndex(shard, nodes.size()) == ownIndex;
  }

  private String homeNode(int shard) {
    return nodes.get(Membership.homeIndex(shard, nodes.size()));
  }

  private void acquire(int shard) {
    boolean wasDelegate = delegations.endOnAcquire(shard, FORMER_DELEGATE_RETENTION_MICROS);
    if (shards.acquire(shard, nowMicros) && wasDelegate) {
      retainUntilMicros[shard] = nowMicros + FORMER_DELEGATE_RETENTION_MICROS;
    }
  }
}
