package gladeknot.membership;

import gladeknot.connectivity.Authority;
import gladeknot.connectivity.ControlAction;
import gladeknot.connectivity.FailoverAdvisor;
import gladeknot.json.Json;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.state.Entry;
import gladeknot.state.StateStore;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The controllers' leases, and which of them owns which shard under which term.
 *
 * <p>A shard's key outlives its owner. It changes hands by one conditional write: to its home node
 * by the present owner, or to any node once the owner's leased liveness key is gone. Each change
 * draws a new term from one global counter.
 */
public final class Membership implements Authority.ShardFacts {

  /** Fields of a shard's and of a liveness key that others read too. */
  static final String FIELD_OWNER = "owner";

  static final String FIELD_INCARNATION = "inc";

  private static final String SHARD = StateStore.ROOT + "shard/";
  static final String FIELD_TERM = "term";

  /** Starts are sent by a copy that is no older than this part of the state lease. */
  private static final int FRESH_PART = 3;

  /** Hears when a shard begins and ceases to be ours. */
  public interface Listener {
    /** Ours now, under a new term or after an unclear commit: read its slices anew. */
    void onAcquired(int shard);

    void onReleased(int shard);

    /** Whether most of a shard's workers have fallen silent. */
    boolean mostWorkersTimedOut(int shard);
  }

  private final List<String> nodes;
  private final int home;
  private final StateStore stateStore;
  private final LeaseTimes times;
  private final StorageFormat format;
  private final StateLease lease;
  private final LeaseDelegations delegations;
  private final Authority authority;
  private final OwnedShards shards;
  private final ShardTransfers mover;
  private long nowMicros;

  /** A member that has no lease and owns no shard yet. */
  public Membership(
      Settings settings,
      Policy policy,
      StateStore stateStore,
      Authority.StateLink stateLink,
      FailoverAdvisor advisor,
      Listener listener) {
    this.nodes = settings.nodes();
    this.home = nodes.indexOf(settings.node());
    this.stateStore = stateStore;
    this.format = new StorageFormat(settings, stateStore, stateStore.limits());
    this.times = LeaseTimes.of(settings.workers(), policy.micros(Policy.Name.STATE_LEASE));
    this.shards = new OwnedShards(nodes.size(), stateStore, listener);
    this.lease = new StateLease(settings, stateStore, times, advisor, shards::dropAll);
    this.delegations = new LeaseDelegations(settings, stateStore, times);
    this.authority = new Authority(this, stateLink);
    this.mover =
        new ShardTransfers(
            settings, stateStore, lease, delegations, shards, authority, advisor, listener);
  }

  public int shardCount() {
    return nodes.size();
  }

  public int homeShard() {
    return home;
  }

  public static String shardKey(int shard) {
    return SHARD + shard;
  }

  /** The format in which records are stored. */
  public StorageFormat format() {
    return format;
  }

  public LeaseTimes times() {
    return times;
  }

  /** Tells the time by which what follows is judged. */
  public void setTime(long micros) {
    nowMicros = micros;
    lease.now(micros);
    delegations.now(micros);
  }

  /** Whether this controller's lease surely holds, so that it may act for its shards. */
  public boolean mayAct() {
    return lease.entitled();
  }

  /** Whether an order of some kind may be given for a shard now. */
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

  @Override
  public boolean copyLoaded() {
    return stateStore.loaded();
  }

  /**
   * A cancellation that the copy does not show can only be as old as the copy. Nothing is committed
   * while the state service does not answer, so that little waits for this.
   */
  @Override
  public boolean copyFresh() {
    return nowMicros - stateStore.currentAsOfMicros() < times.stateLeaseMicros() / FRESH_PART;
  }

  /** This life of this controller: the number of its state lease. */
  public long incarnation() {
    return lease.incarnation();
  }

  public Set<Integer> ownedShards() {
    return shards.all();
  }

  /** Since when a shard has been ours. */
  public long ownedSinceMicros(int shard) {
    return shards.sinceMicros(shard);
  }

  /** A shard's term, the token that its workers are shown. */
  public long term(int shard) {
    return term(stateStore, shard);
  }

  static long term(StateStore stateStore, int shard) {
    Entry entry = stateStore.get(shardKey(shard));
    return entry == null ? 0 : Json.num(entry.data(), FIELD_TERM, 0);
  }

  /** The owner of a shard, if its lease is seen to hold. */
  public String liveOwner(int shard) {
    String owner = owner(shard);
    return owner != null && StateLease.isAlive(stateStore, owner) ? owner : null;
  }

  /** The owner of a shard by its key, alive or not; null if there is none. */
  public String owner(int shard) {
    Entry entry = stateStore.get(shardKey(shard));
    return entry == null ? null : Json.text(entry.data(), FIELD_OWNER);
  }

  /** The highest term that a shard of ours may have, by what was written without an answer. */
  public long highestTerm(int shard) {
    return shards.mostTerm(shard);
  }

  /** The owner's incarnation by a shard's key. */
  public long incarnation(int shard) {
    Entry entry = stateStore.get(shardKey(shard));
    return entry == null ? 0 : Json.num(entry.data(), FIELD_INCARNATION, 0);
  }

  /**
   * Stops acting for a shard until its key has changed, so that another may take it: under every
   * term that it may have now. If it comes back to us, it is under a higher one.
   */
  public void relinquish(int shard) {
    shards.relinquish(shard);
  }

  public int liveMemberCount() {
    return Math.max(1, StateLease.aliveCount(stateStore));
  }

  /** The key of the entries by which other controllers renew leases of a shard's workers. */
  public static String delegationKey(int shard) {
    return LeaseDelegations.key(shard);
  }

  /** The stamp of the newest entry by which another controller acts as a shard's delegate. */
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
   * Enters that this controller answers the workers of a shard whose owner they can't reach. The
   * owner takes no lease as lapsed before that has run out; it gives the shard away if most of its
   * workers are silent.
   */
  public void becomeDelegate(int shard, Consumer<Boolean> then) {
    if (mayAct()) {
      delegations.enter(shard, term(shard), then);
    } else {
      then.accept(false);
    }
  }

  /** A commit for a shard got no answer: nothing more goes until a new stamp makes it void. */
  public void markInDoubt(int shard) {
    shards.doubt(shard);
  }

  /** A worker of the shard has seen a higher token than its term. */
  public void raiseTerm(int shard) {
    markInDoubt(shard);
  }

  /** Renews the lease, reads, and moves shards one step, each when it is time. */
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
      mover.tick(now);
    }
  }
}
