package gladeknot.membership;

import gladeknot.connectivity.Authority;
import gladeknot.connectivity.ControlAction;
import gladeknot.connectivity.FailoverAdvisor;
import gladeknot.json.Json;
import gladeknot.settings.Settings;
import gladeknot.state.CommitOutcome;
import gladeknot.state.CommitStatus;
import gladeknot.state.Entry;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves shards between controllers, each by one write that is conditional on the shard's key: to
 * its home or to who reaches its workers by the present owner, or to any once the owner's liveness
 * key is gone or the owner has yielded it.
 */
final class ShardTransfers {
  private static final Logger LOG = LoggerFactory.getLogger(ShardTransfers.class);

  private static final String TERM = StateStore.ROOT + "term";
  private static final String FIELD_COUNTER = "n";

  /** Between two looks at who owns what, and until the next after one that failed. */
  private static final long MOVE_MICROS = 50_000;

  private static final long STEP_MICROS = 400_000;

  /** How long the first in the ring waits before it takes a lapsed shard, and each next one. */
  private static final long TAKE_MICROS = 100_000;

  private static final long TAKE_STEP_MICROS = 500_000;

  /** How long a shard stays with the controller that its workers could reach. */
  private static final long KEEP_MICROS = 45_000_000;

  private final Settings settings;
  private final List<String> nodes;
  private final int home;
  private final StateStore stateStore;
  private final StateLease lease;
  private final LeaseDelegations delegations;
  private final OwnedShards shards;
  private final Authority authority;
  private final FailoverAdvisor advisor;
  private final Membership.Listener listener;
  private final long[] lapsedSince;
  private final long[] keepUntilMicros;
  private boolean moving;
  private long nextMoveMicros;
  private long nowMicros;

  ShardTransfers(
      Settings settings,
      StateStore stateStore,
      StateLease lease,
      LeaseDelegations delegations,
      OwnedShards shards,
      Authority authority,
      FailoverAdvisor advisor,
      Membership.Listener listener) {
    this.settings = settings;
    this.nodes = settings.nodes();
    this.home = nodes.indexOf(settings.node());
    this.stateStore = stateStore;
    this.lease = lease;
    this.delegations = delegations;
    this.shards = shards;
    this.authority = authority;
    this.advisor = advisor;
    this.listener = listener;
    this.lapsedSince = new long[nodes.size()];
    this.keepUntilMicros = new long[nodes.size()];
  }

  /** One step of moving shards, when it is time: give back, take lapsed ones, make stamps new. */
  void tick(long now) {
    nowMicros = now;
    if (moving || now < nextMoveMicros) {
      return;
    }
    nextMoveMicros = now + MOVE_MICROS;
    for (int shard = 0; shard < nodes.size(); shard++) {
      if (moveShard(shard)) {
        return;
      }
    }
  }

  /** Looks at one shard; returns whether a transaction is under way, or waits for tokens. */
  private boolean moveShard(int shard) {
    Entry entry = stateStore.get(Membership.shardKey(shard));
    String owner = entry == null ? null : Json.text(entry.data(), Membership.FIELD_OWNER);
    boolean mine = settings.node().equals(owner);
    boolean thisLife =
        mine && Json.num(entry.data(), Membership.FIELD_INCARNATION, 0) == lease.incarnation();
    if (!thisLife) {
      shards.drop(shard);
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
      return yieldedToUs(shard, entry) && takeOver(shard, entry, Map.of());
    }
    return (shard == home || waited(shard))
        && takeOver(shard, entry, Map.of(StateLease.key(owner), 0L));
  }

  private boolean yieldedToUs(int shard, Entry entry) {
    long incarnation = Json.num(entry.data(), Membership.FIELD_INCARNATION, 0);
    return advisor.yieldedToThisNode(shard, incarnation, Membership.term(stateStore, shard));
  }

  private boolean takeOver(int shard, Entry entry, Map<String, Long> alsoIf) {
    take(shard, entry, settings.node(), lease.incarnation(), alsoIf);
    return true;
  }

  /** A shard that is ours by its key: settles what is in doubt, or gives it to who serves it. */
  private boolean keepOrGive(int shard, Entry entry) {
    shards.look(shard);
    if (!shards.contains(shard)) {
      gain(shard);
    }
    lapsedSince[shard] = 0;
    if (shards.needsNewStamp(shard)) {
      return takeOver(shard, entry, Map.of());
    }
    String heir = reachingDelegate(shard);
    if (heir == null) {
      heir = advisor.preferredOwner(shard);
    }
    if (heir == null && mayGoHome(shard)) {
      heir = nodes.get(shard);
    }
    Entry heirAlive = heir == null ? null : stateStore.get(StateLease.key(heir));
    if (heirAlive == null) {
      return false;
    }
    // The home node is back, or another reaches the workers. From here until the outcome is known
    // no worker of the shard is answered, so that its new owner may count from the change of hands.
    if (take(
        shard,
        entry,
        heir,
        Json.num(heirAlive.data(), Membership.FIELD_INCARNATION, 0),
        Map.of(StateLease.key(heir), heirAlive.modRevision()))) {
      shards.beginYielding(shard);
    }
    return true;
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
    long wait = TAKE_MICROS + TAKE_STEP_MICROS * (place + shards.all().size());
    return nowMicros - lapsedSince[shard] >= wait + advisor.failoverDelayMicros(shard);
  }

  private boolean take(int shard, Entry entry, String to, long inc, Map<String, Long> alsoIf) {
    if (!authority.permits(ControlAction.TRANSFER_SHARD, shard)
        || !stateStore.tryAcquireWrites(2, 0)) {
      return false;
    }
    Entry counter = stateStore.get(TERM);
    long drawn = counter == null ? 0 : Json.num(counter.data(), FIELD_COUNTER, 0);
    long term = shards.nextTerm(shard, drawn);
    Map<String, Long> conditions = new LinkedHashMap<>(alsoIf);
    conditions.put(Membership.shardKey(shard), entry == null ? 0 : entry.modRevision());
    conditions.put(TERM, counter == null ? 0 : counter.modRevision());
    // A former life's or a lapsed life's write must not take anything: the lease must stand.
    conditions.put(lease.ownKey(), stateStore.modRevision(lease.ownKey()));
    List<Mutation> writes = new ArrayList<>();
    writes.add(
        Mutation.put(
            Membership.shardKey(shard),
            Json.of(
                Membership.FIELD_OWNER,
                to,
                Membership.FIELD_INCARNATION,
                inc,
                Membership.FIELD_TERM,
                term)));
    writes.add(Mutation.put(TERM, Json.of(FIELD_COUNTER, term)));
    moving = true;
    stateStore.commit(conditions, writes, outcome -> moved(outcome, shard, to, inc, term));
    return true;
  }

  private void moved(CommitOutcome outcome, int shard, String to, long inc, long term) {
    switch (outcome.status()) {
      case COMMITTED -> {
        LOG.info("shard {} now with {} under term {}", shard, to, term);
        shards.wrote(shard, term);
        moving = false;
        if (to.equals(settings.node())) {
          // Earlier commits of unclear fate are void now; wait until the copy holds all.
          moving = true;
          stateStore.whenRevisionReached(outcome.revision(), () -> taken(shard, inc));
        } else {
          shards.drop(shard);
        }
      }
      case CONFLICT -> {
        moving = true;
        stateStore.whenRevisionReached(outcome.revision(), () -> moving = false);
      }
      default -> {
        moving = false;
        if (outcome.status() == CommitStatus.UNKNOWN) {
          shards.doubt(shard);
        }
        nextMoveMicros = nowMicros + STEP_MICROS;
      }
    }
  }

  private void taken(int shard, long inc) {
    moving = false;
    shards.settled(shard);
    if (inc == lease.incarnation() && stillMine(shard)) {
      gain(shard);
    }
  }

  private boolean stillMine(int shard) {
    Entry entry = stateStore.get(Membership.shardKey(shard));
    return entry != null
        && settings.node().equals(Json.text(entry.data(), Membership.FIELD_OWNER))
        && Json.num(entry.data(), Membership.FIELD_INCARNATION, 0) == lease.incarnation();
  }

  private void gain(int shard) {
    boolean served = delegations.settle(shard, KEEP_MICROS);
    if (shards.gain(shard, nowMicros) && served) {
      keepUntilMicros[shard] = nowMicros + KEEP_MICROS;
    }
  }

  /** The delegate of a shard, which could take it, if most of its workers are silent here. */
  private String reachingDelegate(int shard) {
    String delegate = delegations.delegate(shard, Membership.term(stateStore, shard));
    return delegate != null && listener.mostWorkersTimedOut(shard) ? delegate : null;
  }
}
