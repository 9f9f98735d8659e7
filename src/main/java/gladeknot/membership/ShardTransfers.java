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
 * Decides when shards change hands. Failover: this controller takes a shard once its owner's
 * liveness key is gone, or the owner has relinquished it in this controller's favour. Hand-over: it
 * gives an owned shard to a node that reaches the shard's workers when it does not. Return: it
 * gives an owned shard back to the shard's home.
 */
final class ShardTransfers {
  /** Between two looks at who owns what. */
  private static final long INTERVAL_MICROS = 50_000;

  /** How long a shard stays with the former delegate that its workers could reach. */
  private static final long KEEP_MICROS = 45_000_000;

  private final String node;
  private final List<String> nodes;
  private final int homeShard;
  private final StateStore stateStore;
  private final ShardTable table;
  private final StateLease lease;
  private final LeaseDelegations delegations;
  private final OwnedShards shards;
  private final FailoverAdvisor advisor;
  private final ShardListener listener;
  private final FailoverTimer failoverTimer;
  private final ShardTransaction transaction;
  private final long[] keepUntilMicros;
  private long nextStepMicros;
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
    this.homeShard = nodes.indexOf(node);
    this.stateStore = stateStore;
    this.table = table;
    this.lease = lease;
    this.delegations = delegations;
    this.shards = shards;
    this.advisor = advisor;
    this.listener = listener;
    this.failoverTimer = new FailoverTimer(homeShard, nodes.size(), shards, advisor);
    this.transaction =
        new ShardTransaction(settings, stateStore, table, lease, shards, authority, this::acquire);
    this.keepUntilMicros = new long[nodes.size()];
  }

  /** Looks at the shards in turn, when it is time, until one needs a transaction. */
  void tick(long now) {
    nowMicros = now;
    if (!transaction.ready(now) || now < nextStepMicros) {
      return;
    }
    nextStepMicros = now + INTERVAL_MICROS;
    for (int shard = 0; shard < nodes.size(); shard++) {
      if (step(shard)) {
        return;
      }
    }
  }

  /** Looks at one shard; returns whether a transaction is in flight, or waits for tokens. */
  private boolean step(int shard) {
    ShardRecord record = table.record(shard);
    if (record.isOwnedBy(node, lease.incarnation())) {
      return keepOrHandOver(shard);
    }
    shards.release(shard);
    if (!record.hasOwner() || node.equals(record.owner())) {
      return claimWithoutOwner(shard, record);
    }
    if (StateLease.isAlive(stateStore, record.owner())) {
      failoverTimer.reset(shard);
      return claimRelinquished(shard, record);
    }
    return failOver(shard, record.owner());
  }

  /** Takes a shard that never had an owner, or that a former life of this node owned. */
  private boolean claimWithoutOwner(int shard, ShardRecord record) {
    boolean due = record.hasOwner() || shard == homeShard || waited(shard);
    return due && claim(shard, Map.of());
  }

  /** Takes a shard whose live owner lacks the state service and has ceased to act for it. */
  private boolean claimRelinquished(int shard, ShardRecord record) {
    return advisor.relinquishedToThisNode(shard, record.incarnation(), record.term())
        && claim(shard, Map.of());
  }

  /** Takes a shard whose owner's lease has expired; its home does so at once. */
  private boolean failOver(int shard, String expiredOwner) {
    boolean due = shard == homeShard || waited(shard);
    return due && claim(shard, Map.of(MembershipKeys.liveness(expiredOwner), 0L));
  }

  private boolean waited(int shard) {
    return failoverTimer.elapsed(shard, nowMicros);
  }

  /** Sends the transaction if it may be sent; true in any case, so that it comes first. */
  private boolean claim(int shard, Map<String, Long> extraConditions) {
    transaction.trySend(shard, node, lease.incarnation(), extraConditions);
    return true;
  }

  /** Looks at an owned shard: renews its term to settle doubts, or hands it over. */
  private boolean keepOrHandOver(int shard) {
    shards.observeTerm(shard);
    if (!shards.contains(shard)) {
      acquire(shard);
    }
    failoverTimer.reset(shard);
    if (shards.needsNewRevision(shard)) {
      return claim(shard, Map.of());
    }
    Optional<String> successor = successor(shard);
    return successor.isPresent() && handOver(shard, successor.get());
  }

  /** Hands a shard over, if the new owner is alive; returns whether that has to come first. */
  private boolean handOver(int shard, String successor) {
    String liveness = MembershipKeys.liveness(successor);
    Entry entry = stateStore.get(liveness);
    if (entry == null) {
      return false;
    }
    // From here until the outcome is known no worker of the shard is answered, so that its new
    // owner may count from the change of hands.
    long incarnation = MembershipCodec.liveness(entry).incarnation();
    Map<String, Long> stillAlive = Map.of(liveness, entry.modRevision());
    if (transaction.trySend(shard, successor, incarnation, stillAlive)) {
      shards.beginHandOver(shard);
    }
    return true;
  }

  /** The node that should own a shard instead of this one, if there is one. */
  private Optional<String> successor(int shard) {
    Optional<String> delegate = delegations.otherDelegate(shard);
    if (delegate.isPresent() && listener.mostWorkersTimedOut(shard)) {
      return delegate;
    }
    Optional<String> preferred = advisor.preferredOwner(shard);
    if (preferred.isPresent()) {
      return preferred;
    }
    return mayReturnHome(shard) ? Optional.of(nodes.get(shard)) : Optional.empty();
  }

  private boolean mayReturnHome(int shard) {
    return shard != homeShard
        && nowMicros >= keepUntilMicros[shard]
        && advisor.mayReturnHome(shard, nodes.get(shard));
  }

  private void acquire(int shard) {
    boolean wasDelegate = delegations.endOnAcquire(shard, KEEP_MICROS);
    if (shards.acquire(shard, nowMicros) && wasDelegate) {
      keepUntilMicros[shard] = nowMicros + KEEP_MICROS;
    }
  }
}
