package gladeknot.membership;

import gladeknot.connectivity.Authority;
import gladeknot.connectivity.OrderKind;
import gladeknot.connectivity.OwnerAdvisor;
import gladeknot.http.Json;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.state.StateStore.Outcome;
import gladeknot.state.StateStore.Result;
import gladeknot.state.StateStore.Write;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The controllers' leases, and which of them owns which shard under which term.
 *
 * <p>A shard's key outlives its owner. It changes hands by one conditional write: to its home node
 * by the present owner, or to any node once the owner's leased liveness key is gone. Each change
 * draws a new term from one global counter.
 */
public final class Membership implements Authority.ShardFacts {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

  /** Fields of a shard's and of a liveness key that others read too. */
  static final String FIELD_OWNER = "owner";

  static final String FIELD_INCARNATION = "inc";

  private static final String SHARD = StateStore.ROOT + "shard/";
  private static final String TERM = StateStore.ROOT + "term";
  private static final String FIELD_TERM = "term";
  private static final String FIELD_COUNTER = "n";

  /** Between two looks at who owns what, and until the next after one that failed. */
  private static final long MOVE_MICROS = 50_000;

  private static final long STEP_MICROS = 400_000;

  /** How long the first in the ring waits before it takes a lapsed shard, and each next one. */
  private static final long TAKE_MICROS = 100_000;

  private static final long TAKE_STEP_MICROS = 500_000;

  /** How long a shard stays with the controller that its workers could reach. */
  private static final long KEEP_MICROS = 45_000_000;

  /** Starts are sent by a copy that is no older than this part of the state lease. */
  private static final int FRESH_PART = 3;

  /** Hears when a shard begins and ceases to be ours. */
  public interface Listener {
    /** Ours now, under a new term or after an unclear commit: read its slices anew. */
    void gained(int shard);

    void lost(int shard);

    /** Whether most of a shard's workers have fallen silent. */
    boolean silent(int shard);
  }

  private final Settings settings;
  private final List<String> nodes;
  private final int home;
  private final StateStore stateStore;
  private final Listener listener;
  private final LeaseTimes times;
  private final ClusterFormat format;
  private final StateLease lease;
  private final LeaseDelegations delegations;
  private final Authority authority;
  private final OwnerAdvisor advisor;

  private long nowMicros;
  private final Set<Integer> owned = new HashSet<>();
  private final Set<Integer> yielding = new HashSet<>();
  private final Set<Integer> unclear = new HashSet<>();
  private final long[] lapsedSince;
  private final long[] sinceMicros;
  private final long[] keepUntilMicros;

  /** By shard: the term of our newest write of its key, and up to which we have relinquished it. */
  private final long[] triedTerm;

  private final long[] relinquishedTerm;

  /** By shard of ours: the term under which it was looked at last. */
  private final long[] ownedTerm;

  private boolean moving;
  private long nextMoveMicros;

  /** A member that has no lease and owns no shard yet. */
  public Membership(
      Settings settings,
      Policy policy,
      StateStore stateStore,
      Authority.StateLink stateLink,
      OwnerAdvisor advisor,
      Listener listener) {
    this.settings = settings;
    this.nodes = settings.nodes();
    this.home = nodes.indexOf(settings.node());
    this.stateStore = stateStore;
    this.listener = listener;
    this.format = new ClusterFormat(settings, stateStore, stateStore.limits());
    this.times = LeaseTimes.of(settings.workers(), policy.micros(Policy.Name.STATE_LEASE));
    this.lease = new StateLease(settings, stateStore, times, advisor, this::dropAll);
    this.delegations = new LeaseDelegations(settings, stateStore, times);
    this.authority = new Authority(this, stateLink);
    this.advisor = advisor;
    this.lapsedSince = new long[nodes.size()];
    this.sinceMicros = new long[nodes.size()];
    this.keepUntilMicros = new long[nodes.size()];
    this.triedTerm = new long[nodes.size()];
    this.relinquishedTerm = new long[nodes.size()];
    this.ownedTerm = new long[nodes.size()];
  }

  public int shards() {
    return nodes.size();
  }

  public int home() {
    return home;
  }

  public static String shardKey(int shard) {
    return SHARD + shard;
  }

  /** The format in which records are stored. */
  public ClusterFormat format() {
    return format;
  }

  public LeaseTimes times() {
    return times;
  }

  /** Tells the time by which what follows is judged. */
  public void now(long micros) {
    nowMicros = micros;
    lease.now(micros);
    delegations.now(micros);
  }

  /** Whether this controller's lease surely holds, so that it may act for its shards. */
  public boolean entitled() {
    return lease.entitled();
  }

  /** Whether an order of some kind may be given for a shard now. */
  public boolean permits(OrderKind kind, int shard) {
    return authority.permits(kind, shard);
  }

  /** What may be done for shards, and why not. */
  public Authority authority() {
    return authority;
  }

  @Override
  public boolean leaseHolds(int shard) {
    return owned.contains(shard) && !yielding.contains(shard) && entitled();
  }

  @Override
  public boolean inDoubt(int shard) {
    return unclear.contains(shard);
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
    return nowMicros - stateStore.freshMicros() < times.stateLeaseMicros() / FRESH_PART;
  }

  /** This life of this controller: the number of its state lease. */
  public long incarnation() {
    return lease.incarnation();
  }

  public Set<Integer> owned() {
    return owned;
  }

  /** Since when a shard has been ours. */
  public long sinceMicros(int shard) {
    return sinceMicros[shard];
  }

  /** A shard's term, the token that its workers are shown. */
  public long term(int shard) {
    return term(stateStore, shard);
  }

  static long term(StateStore stateStore, int shard) {
    StateStore.Entry entry = stateStore.get(shardKey(shard));
    return entry == null ? 0 : Json.num(entry.data(), FIELD_TERM, 0);
  }

  /** The owner of a shard, if its lease is seen to hold. */
  public String liveOwner(int shard) {
    String owner = owner(shard);
    return owner != null && StateLease.isAlive(stateStore, owner) ? owner : null;
  }

  /** The owner of a shard by its key, alive or not; null if there is none. */
  public String owner(int shard) {
    StateStore.Entry entry = stateStore.get(shardKey(shard));
    return entry == null ? null : Json.text(entry.data(), FIELD_OWNER);
  }

  /** The highest term that a shard of ours may have, by what was written without an answer. */
  public long mostTerm(int shard) {
    return Math.max(term(shard), triedTerm[shard]);
  }

  /**
   * Stops acting for a shard until its key has changed, so that another may take it: under every
   * term that it may have now. If it comes back to us, it is under a higher one.
   */
  public void relinquish(int shard) {
    if (owned.contains(shard)) {
      yielding.add(shard);
      relinquishedTerm[shard] = mostTerm(shard);
    }
  }

  public int liveNodes() {
    return Math.max(1, StateLease.aliveCount(stateStore));
  }

  /** The key of the entries by which other controllers renew leases of a shard's workers. */
  public static String delegationKey(int shard) {
    return LeaseDelegations.key(shard);
  }

  /** The stamp of the newest entry by which another controller acts as a shard's delegate. */
  public long delegationStamp(int shard) {
    return delegations.stamp(shard);
  }

  /** Until when another controller may renew the leases of a shard's workers. */
  public long delegatedUntilMicros(int shard) {
    return delegations.untilMicros(shard);
  }

  /** Whether this controller may renew the leases of a shard's workers in its owner's place. */
  public boolean delegateFor(int shard) {
    return entitled() && delegations.holds(shard, term(shard)) && !owned.contains(shard);
  }

  /**
   * Enters that this controller answers the workers of a shard whose owner they can't reach. The
   * owner takes no lease as lapsed before that has run out; it gives the shard away if most of its
   * workers are silent.
   */
  public void becomeDelegate(int shard, Consumer<Boolean> then) {
    if (entitled()) {
      delegations.enter(shard, term(shard), then);
    } else {
      then.accept(false);
    }
  }

  /** The delegate of a shard, which could take it, if most of its workers are silent here. */
  private String rescuer(int shard) {
    String delegate = delegations.delegate(shard, term(shard));
    return delegate != null && listener.silent(shard) ? delegate : null;
  }

  /** A commit for a shard got no answer: nothing more goes until a new stamp makes it void. */
  public void unclear(int shard) {
    if (owned.contains(shard)) {
      unclear.add(shard);
    }
  }

  /** A worker of the shard has seen a higher token than its term. */
  public void raise(int shard) {
    unclear(shard);
  }

  /** Renews the lease, reads, and moves shards one step, each when it is time. */
  public void tick(long now) {
    now(now);
    if (!stateStore.loaded()) {
      return;
    }
    lease.tick();
    if (lease.alive()) {
      format.tick(now);
    }
    if (lease.alive() && !moving && now >= nextMoveMicros) {
      nextMoveMicros = now + MOVE_MICROS;
      move();
    }
  }

  private void dropAll() {
    List.copyOf(owned).forEach(this::drop);
  }

  /** One step of moving shards: give ours back, take lapsed ones, make stamps new. */
  private void move() {
    for (int shard = 0; shard < nodes.size(); shard++) {
      if (moveShard(shard)) {
        return;
      }
    }
  }

  /** Looks at one shard; returns whether a transaction is under way, or waits for tokens. */
  private boolean moveShard(int shard) {
    StateStore.Entry entry = stateStore.get(shardKey(shard));
    String owner = entry == null ? null : Json.text(entry.data(), FIELD_OWNER);
    boolean mine = settings.node().equals(owner);
    boolean thisLife = mine && Json.num(entry.data(), FIELD_INCARNATION, 0) == lease.incarnation();
    if (owned.contains(shard) && !thisLife) {
      drop(shard);
    }
    if (thisLife) {
      return keepOrGive(shard, entry);
    }
    if (owner == null || mine) {
      // Nobody's yet, or this node's own from a former life.
      return (mine || shard == home || waited(shard)) && takeOver(shard, entry, Map.of());
    }
    if (StateLease.isAlive(stateStore, owner)) {
      lapsedSince[shard] = 0;
      // Its owner, without the state service, has ceased to act for it in our favour.
      return advisor.yieldedToUs(shard, owner, term(shard)) && takeOver(shard, entry, Map.of());
    }
    return (shard == home || waited(shard))
        && takeOver(shard, entry, Map.of(StateLease.key(owner), 0L));
  }

  private boolean takeOver(int shard, StateStore.Entry entry, Map<String, Long> alsoIf) {
    take(shard, entry, settings.node(), lease.incarnation(), alsoIf);
    return true;
  }

  /** A shard that is ours by its key: settles what is in doubt, or gives it to who serves it. */
  private boolean keepOrGive(int shard, StateStore.Entry entry) {
    if (owned.contains(shard) && term(shard) != ownedTerm[shard] && !ownWrite(shard)) {
      // It was another's meanwhile, and the copy has skipped that: what we know of it is too old.
      drop(shard);
    }
    if (!owned.contains(shard)) {
      gain(shard);
    }
    ownedTerm[shard] = term(shard);
    lapsedSince[shard] = 0;
    if (unclear.contains(shard) || yielding.contains(shard)) {
      return takeOver(shard, entry, Map.of());
    }
    String heir = rescuer(shard);
    if (heir == null) {
      heir = advisor.heir(shard);
    }
    if (heir == null && mayGoHome(shard)) {
      heir = nodes.get(shard);
    }
    StateStore.Entry heirAlive = heir == null ? null : stateStore.get(StateLease.key(heir));
    if (heirAlive == null) {
      return false;
    }
    // The home node is back, or another reaches the workers. From here until the outcome is known
    // no worker of the shard is answered, so that its new owner may count from the change of hands.
    if (take(
        shard,
        entry,
        heir,
        Json.num(heirAlive.data(), FIELD_INCARNATION, 0),
        Map.of(StateLease.key(heir), heirAlive.stamp()))) {
      yielding.add(shard);
    }
    return true;
  }

  /** Whether a shard's present term comes from our own newest write of its key. */
  private boolean ownWrite(int shard) {
    return term(shard) == triedTerm[shard];
  }

  private boolean mayGoHome(int shard) {
    return shard != home
        && nowMicros >= keepUntilMicros[shard]
        && advisor.mayReturnHome(shard, nodes.get(shard));
  }

  /** Nodes that come later in the ring wait a little longer, so that mostly one tries. */
  private boolean waited(int shard) {
    if (lapsedSince[shard] == 0) {
      lapsedSince[shard] = nowMicros;
    }
    int place = Math.floorMod(home - shard - 1, nodes.size());
    long wait = TAKE_MICROS + TAKE_STEP_MICROS * (place + owned.size());
    return nowMicros - lapsedSince[shard] >= wait + advisor.takeDelayMicros(shard);
  }

  private boolean take(
      int shard, StateStore.Entry entry, String to, long inc, Map<String, Long> alsoIf) {
    if (!permits(OrderKind.MOVE_SHARD, shard) || !stateStore.takeWrites(2, 0)) {
      return false;
    }
    StateStore.Entry counter = stateStore.get(TERM);
    long drawn = counter == null ? 0 : Json.num(counter.data(), FIELD_COUNTER, 0);
    long term = 1 + Math.max(drawn, relinquishedTerm[shard]);
    triedTerm[shard] = term;
    Map<String, Long> conditions = new LinkedHashMap<>(alsoIf);
    conditions.put(shardKey(shard), entry == null ? 0 : entry.stamp());
    conditions.put(TERM, counter == null ? 0 : counter.stamp());
    // A former life's or a lapsed life's write must not take anything: the lease must stand.
    conditions.put(lease.ownKey(), stateStore.stamp(lease.ownKey()));
    List<Write> writes = new ArrayList<>();
    writes.add(
        Write.put(
            shardKey(shard), Json.of(FIELD_OWNER, to, FIELD_INCARNATION, inc, FIELD_TERM, term)));
    writes.add(Write.put(TERM, Json.of(FIELD_COUNTER, term)));
    moving = true;
    stateStore.commit(conditions, writes, outcome -> moved(outcome, shard, to, inc, term));
    return true;
  }

  private void moved(Outcome outcome, int shard, String to, long inc, long term) {
    switch (outcome.result()) {
      case DONE -> {
        LOG.info("shard {} now with {} under term {}", shard, to, term);
        yielding.remove(shard);
        moving = false;
        if (to.equals(settings.node())) {
          // Earlier commits of unclear fate are void now; wait until the copy holds all.
          moving = true;
          stateStore.whenAt(outcome.epoch(), () -> taken(shard, inc));
        } else {
          drop(shard);
        }
      }
      case CONFLICT -> {
        moving = true;
        stateStore.whenAt(outcome.epoch(), () -> moving = false);
      }
      default -> {
        moving = false;
        if (outcome.result() == Result.UNKNOWN && owned.contains(shard)) {
          unclear.add(shard);
        }
        nextMoveMicros = nowMicros + STEP_MICROS;
      }
    }
  }

  private void taken(int shard, long inc) {
    moving = false;
    unclear.remove(shard);
    if (inc == lease.incarnation() && stillMine(shard)) {
      gain(shard);
    }
  }

  private boolean stillMine(int shard) {
    StateStore.Entry entry = stateStore.get(shardKey(shard));
    return entry != null
        && settings.node().equals(Json.text(entry.data(), FIELD_OWNER))
        && Json.num(entry.data(), FIELD_INCARNATION, 0) == lease.incarnation();
  }

  private void gain(int shard) {
    boolean served = delegations.settle(shard, KEEP_MICROS);
    if (owned.add(shard) && served) {
      keepUntilMicros[shard] = nowMicros + KEEP_MICROS;
    }
    sinceMicros[shard] = nowMicros;
    listener.gained(shard);
  }

  private void drop(int shard) {
    if (owned.remove(shard)) {
      yielding.remove(shard);
      unclear.remove(shard);
      LOG.info("shard {} is no longer ours", shard);
      listener.lost(shard);
    }
  }
}
