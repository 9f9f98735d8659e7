package gladeknot.membership;

import gladeknot.connectivity.Authority;
import gladeknot.connectivity.ControlAction;
import gladeknot.connectivity.FailoverAdvisor;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Maintains this controller's state lease and the ownership of shards: which controller owns which
 * shard under which term.
 *
 * <p>A shard's key outlives its owner. One conditional write transfers the ownership. The current
 * owner may make this write, or any node once the owner's liveness key, which is attached to the
 * owner's lease, is gone. Each change draws a new term from one global counter.
 */
public final class Membership implements Authority.ShardFacts {
  /**
   * Divisor of the state lease that gives the maximum age of the cache at which starts are sent.
   */
  private static final int FRESH_LEASE_DIVISOR = 3;

  private final List<String> nodes;
  private final int ownIndex;
  private final ShardCount shardCount;
  private final StateStore stateStore;
  private final ShardTable table;
  private final LeaseTimes times;
  private final StorageFormat format;
  private final StateLease lease;
  private final LeaseDelegations delegations;
  private final Authority authority;
  private final OwnedShards shards;
  private final ShardTransfers transfers;
  private long nowMicros;

  /**
   * Creates a member that has no lease and owns no shard yet.
   *
   * @param shardCount the number of shards to work with; the member does nothing unless it is, or
   *     becomes, the stored one
   */
  public Membership(
      Settings settings,
      int shardCount,
      Policy policy,
      StateStore stateStore,
      Authority.StateLink stateLink,
      FailoverAdvisor advisor,
      ShardListener listener) {
    this.nodes = settings.nodes();
    this.ownIndex = nodes.indexOf(settings.node());
    this.stateStore = stateStore;
    this.shardCount = new ShardCount(stateStore, shardCount);
    this.table = new ShardTable(stateStore, shardCount);
    this.format = new StorageFormat(settings, stateStore, stateStore.limits(), table);
    this.times = LeaseTimes.of(settings.workers(), policy.micros(Policy.Name.STATE_LEASE));
    this.shards = new OwnedShards(table, listener);
    this.lease = new StateLease(settings, stateStore, times, advisor, shards::releaseAll);
    this.delegations = new LeaseDelegations(settings, stateStore, table, times);
    this.authority = new Authority(this, stateLink);
    this.transfers =
        new ShardTransfers(
            settings, stateStore, table, lease, delegations, shards, authority, advisor, listener);
  }

  /** Returns the number of shards. */
  public int shardCount() {
    return shardCount.count();
  }

  /**
   * Returns the number of shards that the cache shows if it differs from the number that this
   * member works with. The member then has to be replaced by one that works with that number.
   */
  public OptionalInt otherShardCount() {
    int known = shardCount.known();
    return known == 0 || known == shardCount() ? OptionalInt.empty() : OptionalInt.of(known);
  }

  /**
   * Returns the shard that this controller prefers for new jobs and machines. In normal operation
   * it owns this shard, unless there are more members than shards.
   */
  public int homeShard() {
    return ownIndex % shardCount();
  }

  /** Returns the member that owns a shard in normal operation. */
  public String homeNode(int shard) {
    return nodes.get(homeIndex(shard, nodes.size()));
  }

  /** Returns the index of the member that owns a shard in normal operation. */
  static int homeIndex(int shard, int members) {
    return shard % members;
  }

  /** Returns the key of a shard, on which its owner's transactions are conditional. */
  public static String shardKey(int shard) {
    return MembershipKeys.shard(shard);
  }

  /** Returns the format in which records are stored. */
  public StorageFormat format() {
    return format;
  }

  /** Returns the durations of leases and delegations. */
  public LeaseTimes times() {
    return times;
  }

  /** Sets the current time, in microseconds of the steady clock, which all checks use. */
  public void setTime(long micros) {
    nowMicros = micros;
    lease.setTime(micros);
    delegations.setTime(micros);
  }

  /**
   * Returns whether this controller may act for its shards: its lease certainly holds, and its
   * watch cache is recent enough.
   */
  public boolean mayAct() {
    return lease.mayAct();
  }

  /** Returns whether an action of the given kind may be taken for a shard now. */
  public boolean permits(ControlAction action, int shard) {
    return authority.permits(action, shard);
  }

  /** Returns the authority, which decides on the actions for shards and explains refusals. */
  public Authority authority() {
    return authority;
  }

  @Override
  public boolean leaseHolds(int shard) {
    return shards.held(shard) && mayAct();
  }

  @Override
  public boolean inDoubt(int shard) {
    return shards.inDoubt(shard);
  }

  /** Returns the revision that the watch has reached: the cache holds all changes up to it. */
  public long cacheRevision() {
    return stateStore.revision();
  }

  @Override
  public boolean cacheLoaded() {
    return stateStore.loaded();
  }

  /**
   * Returns whether the cache is recent enough for starts to be sent. A cancellation that the cache
   * does not show was committed after the cache was last known to be current. The condition delays
   * little, because nothing is committed while the state service does not answer.
   */
  @Override
  public boolean cacheFresh() {
    long ageMicros = nowMicros - stateStore.currentAsOfMicros();
    return ageMicros < times.stateLeaseMicros() / FRESH_LEASE_DIVISOR;
  }

  /** Returns this controller's incarnation, the number of its state lease; 0 without a lease. */
  public long incarnation() {
    return lease.incarnation();
  }

  /** Returns a live view of the shards that this controller owns. */
  public Set<Integer> ownedShards() {
    return shards.all();
  }

  /**
   * Returns when this controller acquired a shard or last got a new term for it, in microseconds of
   * the steady clock.
   */
  public long ownedSinceMicros(int shard) {
    return shards.acquiredMicros(shard);
  }

  /**
   * Returns a shard's term, the fencing token that its workers are shown; 0 if the shard never had
   * an owner.
   */
  public long term(int shard) {
    return table.term(shard);
  }

  /** Returns the owner of a shard, if the owner's liveness key exists. */
  public Optional<String> liveOwner(int shard) {
    return owner(shard).filter(owner -> StateLease.isAlive(stateStore, owner));
  }

  /** Returns the owner that a shard's key names, alive or not. */
  public Optional<String> owner(int shard) {
    return Optional.ofNullable(table.record(shard).owner());
  }

  /** Returns the highest term that an owned shard may have, including unanswered writes. */
  public long highestTerm(int shard) {
    return shards.highestTerm(shard);
  }

  /** Returns the owner's incarnation that a shard's key names; 0 if it never had an owner. */
  public long incarnation(int shard) {
    return table.record(shard).incarnation();
  }

  /**
   * Stops acting for a shard, under every term that the shard may have now, until its key has
   * changed. Another node may then take the shard. If this controller gets the shard back, it does
   * so under a higher term.
   */
  public void relinquish(int shard) {
    shards.relinquish(shard);
  }

  /** Returns the number of members that have a liveness key; at least 1. */
  public int liveMemberCount() {
    return Math.max(1, StateLease.aliveCount(stateStore));
  }

  /** Returns the key of a shard's lease delegation. */
  public static String delegationKey(int shard) {
    return MembershipKeys.delegation(shard);
  }

  /** Returns the revision of the newest delegation observed for a shard; 0 if there is none. */
  public long delegationRevision(int shard) {
    return delegations.revision(shard);
  }

  /** Returns the time until which another controller may renew the leases of a shard's workers. */
  public long delegatedUntilMicros(int shard) {
    return delegations.untilMicros(shard);
  }

  /**
   * Returns whether this controller may renew the leases of a shard's workers in place of the
   * shard's owner.
   */
  public boolean isDelegateFor(int shard) {
    return mayAct() && delegations.holds(shard, term(shard)) && !shards.contains(shard);
  }

  /**
   * Enters a delegation by which this controller answers the workers of a shard whose owner they
   * can't reach. The owner treats no worker's lease as expired before the delegation has expired.
   * It hands the shard over if it gets no heartbeats from most of the shard's workers.
   *
   * @param callback receives whether the delegation was entered
   */
  public void becomeDelegate(int shard, Consumer<Boolean> callback) {
    if (mayAct()) {
      delegations.enter(shard, callback);
    } else {
      callback.accept(false);
    }
  }

  /**
   * Records that a transaction for a shard got no answer. Nothing is scheduled for the shard until
   * a new term voids the transaction.
   */
  public void markInDoubt(int shard) {
    shards.markInDoubt(shard);
  }

  /**
   * Has a new term drawn for a shard, because one of its workers has seen a fencing token above the
   * current term, or because messages from before one of its machines restarted must be told from
   * later ones.
   */
  public void raiseTerm(int shard) {
    markInDoubt(shard);
  }

  /** Renews the lease, checks the cache, and transfers shards, each when due. */
  public void tick(long currentMicros) {
    setTime(currentMicros);
    if (!stateStore.loaded()) {
      return;
    }
    if (!shardCount.isAgreed()) {
      shardCount.storeIfAbsent(currentMicros);
      return;
    }
    lease.tick();
    if (lease.alive()) {
      format.tick(currentMicros);
    }
    if (lease.alive()) {
      transfers.tick(currentMicros);
    }
  }
}
