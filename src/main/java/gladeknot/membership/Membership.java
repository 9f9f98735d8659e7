package gladeknot.membership;

import gladeknot.connectivity.Authority;
import gladeknot.connectivity.ControlAction;
import gladeknot.connectivity.FailoverAdvisor;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The controllers' leases, and which of them owns which shard under which term.
 *
 * <p>A shard's key outlives its owner. It changes hands by one conditional write: by the present
 * owner, or by any node once the owner's leased liveness key is gone. Each change draws a new term
 * from one global counter.
 */
public final class Membership implements Authority.ShardFacts {
  /** Runs are sent by a cache that is no older than this part of the state lease. */
  private static final int FRESH_LEASE_DIVISOR = 3;

  private final List<String> nodes;
  private final int homeShard;
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

  /** A member that has no lease and owns no shard yet. */
  public Membership(
      Settings settings,
      Policy policy,
      StateStore stateStore,
      Authority.StateLink stateLink,
      FailoverAdvisor advisor,
      ShardListener listener) {
    this.nodes = settings.nodes();
    this.homeShard = nodes.indexOf(settings.node());
    this.stateStore = stateStore;
    this.table = new ShardTable(stateStore, nodes.size());
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

  /** There are as many shards as members. */
  public int shardCount() {
    return nodes.size();
  }

  /** The shard that this controller owns while all is well. */
  public int homeShard() {
    return homeShard;
  }

  /** The key of a shard, on which its owner's transactions are conditional. */
  public static String shardKey(int shard) {
    return MembershipKeys.shard(shard);
  }

  /** The format in which records are stored. */
  public StorageFormat format() {
    return format;
  }

  /** How long leases and delegations last. */
  public LeaseTimes times() {
    return times;
  }

  /** Sets the time, in microseconds of the steady clock, by which what follows is judged. */
  public void setTime(long micros) {
    nowMicros = micros;
    lease.setTime(micros);
    delegations.setTime(micros);
  }

  /** Whether this controller's lease surely holds, so that it may act for its shards. */
  public boolean mayAct() {
    return lease.entitled();
  }

  /** Whether an action of some kind may be taken for a shard now. */
  public boolean permits(ControlAction kind, int shard) {
    return authority.permits(kind, shard);
  }

  /** What may be done for shards, and why not. */
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

  /** The revision that the watch has reached: the copy of the state holds all changes up to it. */
  public long copyRevision() {
    return stateStore.revision();
  }

  @Override
  public boolean cacheLoaded() {
    return stateStore.loaded();
  }

  /**
   * A cancellation that the cache does not show can only be as old as the cache. Nothing is
   * committed while the state service does not answer, so that little waits for this.
   */
  @Override
  public boolean cacheFresh() {
    long age = nowMicros - stateStore.currentAsOfMicros();
    return age < times.stateLeaseMicros() / FRESH_LEASE_DIVISOR;
  }

  /** The incarnation of this controller, the number of its state lease; 0 without one. */
  public long incarnation() {
    return lease.incarnation();
  }

  /** A live view of the shards that this controller owns. */
  public Set<Integer> ownedShards() {
    return shards.all();
  }

  /** Since when this controller has owned a shard, in microseconds of the steady clock. */
  public long ownedSinceMicros(int shard) {
    return shards.sinceMicros(shard);
  }

  /** A shard's term, the fencing token that its workers are shown; 0 if it never had an owner. */
  public long term(int shard) {
    return table.term(shard);
  }

  /** The owner of a shard, if its liveness key exists. */
  public Optional<String> liveOwner(int shard) {
    return owner(shard).filter(owner -> StateLease.isAlive(stateStore, owner));
  }

  /** The owner of a shard by its key, alive or not. */
  public Optional<String> owner(int shard) {
    return Optional.ofNullable(table.record(shard).owner());
  }

  /** The highest term that an owned shard may have, counting writes that got no answer. */
  public long highestTerm(int shard) {
    return shards.highestTerm(shard);
  }

  /** The owner's incarnation by a shard's key; 0 if it never had an owner. */
  public long incarnation(int shard) {
    return table.record(shard).incarnation();
  }

  /**
   * Stops acting for a shard until its key has changed, so that another may take it: under every
   * term that it may have now. If this controller gets it back, it is under a higher one.
   */
  public void relinquish(int shard) {
    shards.relinquish(shard);
  }

  /** How many members have a liveness key; at least 1. */
  public int liveMemberCount() {
    return Math.max(1, StateLease.aliveCount(stateStore));
  }

  /** The key of a shard's lease delegation. */
  public static String delegationKey(int shard) {
    return MembershipKeys.delegation(shard);
  }

  /** The revision of the newest delegation of a shard that was observed; 0 if there is none. */
  public long delegationRevision(int shard) {
    return delegations.revision(shard);
  }

  /** Until when another controller may renew the leases of a shard's workers. */
  public long delegatedUntilMicros(int shard) {
    return delegations.untilMicros(shard);
  }

  /** Whether this controller may renew the leases of a shard's workers in its owner's place. */
  public boolean isDelegateFor(int shard) {
    return mayAct() && delegations.holds(shard, term(shard)) && !shards.contains(shard);
  }

  /**
   * Enters a delegation by which this controller answers the workers of a shard whose owner they
   * can't reach. The owner takes no lease as expired before the delegation has; it hands the shard
   * over if no heartbeats come from most of its workers.
   *
   * @param then takes whether the delegation holds
   */
  public void becomeDelegate(int shard, Consumer<Boolean> then) {
    if (mayAct()) {
      delegations.enter(shard, then);
    } else {
      then.accept(false);
    }
  }

  /** A transaction for a shard got no answer: nothing is scheduled until a new term voids it. */
  public void markInDoubt(int shard) {
    shards.markInDoubt(shard);
  }

  /** A worker of the shard has seen a higher fencing token than its term: draws a higher one. */
  public void raiseTerm(int shard) {
    markInDoubt(shard);
  }

  /** Renews the lease, reads, and transfers shards, each when it is time. */
  public void tick(long now) {
    setTime(now);
    if (!stateStore.loaded()) {
      return;
    }
    lease.tick();
    if (lease.alive()) {
      format.tick(now);
    }
    if (lease.alive()) {
      transfers.tick(now);
    }
  }
}
