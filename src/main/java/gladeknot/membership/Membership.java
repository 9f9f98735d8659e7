package gladeknot.membership;

import gladeknot.http.Json;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
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
public final class Membership {
  private static final Logger LOG = LoggerFactory.getLogger(Membership.class);

  /** Fields of a shard's and of a liveness key that others read too. */
  static final String FIELD_OWNER = "owner";

  static final String FIELD_INCARNATION = "inc";

  private static final String ALIVE = StateStore.ROOT + "alive/";
  private static final String SHARD = StateStore.ROOT + "shard/";
  private static final String CARE = StateStore.ROOT + "care/";
  private static final String TERM = StateStore.ROOT + "term";

  private static final long CALL_MICROS = 2_000_000;

  private static final long STEP_MICROS = 400_000;

  /** How many such entries one controller makes for one term. */
  private static final int MOST_CARES = 2;

  /** How long a shard stays with the controller that its workers could reach. */
  private static final long KEEP_MICROS = 45_000_000;

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
  private final String ownAliveKey;
  private final ClusterFormat format;
  private final long ttlMicros;

  private long grant;
  private long renewedMicros = Long.MIN_VALUE / 2;
  private long nextRenewMicros;
  private boolean renewing;
  private boolean alive;
  private boolean announcing;
  private long nowMicros;
  private long nextBarrierMicros;
  private final Set<Integer> owned = new HashSet<>();
  private final Set<Integer> yielding = new HashSet<>();
  private final Set<Integer> unclear = new HashSet<>();
  private final long[] lapsedSince;
  private final long[] sinceMicros;
  private final long[] caredUntilMicros;
  private final long[] careStamp;
  private final long[] caringUntilMicros;
  private final long[] caringTerm;
  private final int[] caring;
  private final long[] keepUntilMicros;
  private boolean moving;
  private long nextMoveMicros;

  /** A member that has no lease and owns no shard yet. */
  public Membership(Settings settings, Policy policy, StateStore stateStore, Listener listener) {
    this.settings = settings;
    this.ownAliveKey = aliveKey(settings.node());
    this.nodes = settings.nodes();
    this.home = nodes.indexOf(settings.node());
    this.stateStore = stateStore;
    this.listener = listener;
    this.format = new ClusterFormat(settings, stateStore, stateStore.limits());
    this.times = LeaseTimes.of(settings.workers(), policy.micros(Policy.Name.STATE_LEASE));
    this.ttlMicros = times.stateLeaseMicros();
    this.lapsedSince = new long[nodes.size()];
    this.sinceMicros = new long[nodes.size()];
    this.caredUntilMicros = new long[nodes.size()];
    this.careStamp = new long[nodes.size()];
    this.caringUntilMicros = new long[nodes.size()];
    this.caringTerm = new long[nodes.size()];
    this.caring = new int[nodes.size()];
    this.keepUntilMicros = new long[nodes.size()];
  }

  public int shards() {
    return nodes.size();
  }

  public int home() {
    return home;
  }

  static String aliveKey(String node) {
    return ALIVE + node;
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
  }

  /** Whether this controller's lease surely holds, so that it may act for its shards. */
  public boolean entitled() {
    return alive
        && announced()
        && nowMicros < times.actsUntilMicros(renewedMicros, stateStore.freshMicros());
  }

  /**
   * Whether starts that are committed may still be sent: a cancellation that the copy does not show
   * can only be as old as the copy. Nothing is committed while the state service does not answer,
   * so that little waits for this.
   */
  public boolean startsFor(int shard) {
    return actsFor(shard) && nowMicros - stateStore.freshMicros() < ttlMicros / 3;
  }

  /** Whether the liveness key is there under the present lease, as far as the copy tells. */
  private boolean announced() {
    StateStore.Entry entry = stateStore.get(ownAliveKey);
    return grant != 0 && entry != null && Json.num(entry.data(), FIELD_INCARNATION, 0) == grant;
  }

  /** Whether a shard is ours and this controller may act for it. */
  public boolean actsFor(int shard) {
    return owned.contains(shard) && !yielding.contains(shard) && entitled();
  }

  /** Whether commits for a shard may go: acting, and no former commit's fate is unclear. */
  public boolean commitsFor(int shard) {
    return actsFor(shard) && !unclear.contains(shard) && stateStore.loaded();
  }

  /** This life of this controller: the number of its state lease. */
  public long incarnation() {
    return grant;
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
    StateStore.Entry entry = stateStore.get(shardKey(shard));
    return entry == null ? 0 : Json.num(entry.data(), "term", 0);
  }

  /** The owner of a shard, if its lease is seen to hold. */
  public String liveOwner(int shard) {
    StateStore.Entry entry = stateStore.get(shardKey(shard));
    String owner = entry == null ? null : Json.text(entry.data(), FIELD_OWNER);
    return owner != null && stateStore.get(ALIVE + owner) != null ? owner : null;
  }

  public int liveNodes() {
    return Math.max(1, stateStore.under(ALIVE).size());
  }

  public static String careKey(int shard) {
    return CARE + shard;
  }

  /** The stamp of the newest entry by which another controller cares for a shard's workers. */
  public long careStamp(int shard) {
    return careStamp[shard];
  }

  /** Until when another controller may renew the leases of a shard's workers. */
  public long caredUntilMicros(int shard) {
    long stamp = stateStore.stamp(careKey(shard));
    if (stamp != careStamp[shard]) {
      careStamp[shard] = stamp;
      caredUntilMicros[shard] = times.delegatedUntilMicros(nowMicros);
    }
    return caredUntilMicros[shard];
  }

  /** Whether this controller may renew the leases of a shard's workers in its owner's place. */
  public boolean caresFor(int shard) {
    return entitled()
        && caringTerm[shard] == term(shard)
        && nowMicros < caringUntilMicros[shard]
        && !owned.contains(shard);
  }

  /**
   * Enters that this controller answers the workers of a shard whose owner they can't reach. The
   * owner takes no lease as lapsed before that has run out; it gives the shard away if most of its
   * workers are silent.
   */
  public void care(int shard, Consumer<Boolean> then) {
    long term = term(shard);
    if (caringTerm[shard] != term) {
      caringTerm[shard] = term;
      caring[shard] = 0;
      caringUntilMicros[shard] = 0;
    }
    if (!entitled() || caring[shard] >= MOST_CARES || !stateStore.takeWrites(1, 0)) {
      then.accept(false);
      return;
    }
    caring[shard]++;
    long sent = nowMicros;
    stateStore.commit(
        Map.of(
            shardKey(shard),
            stateStore.stamp(shardKey(shard)),
            ALIVE + settings.node(),
            stateStore.stamp(ALIVE + settings.node())),
        List.of(Write.put(careKey(shard), Json.of("by", settings.node(), "term", term))),
        outcome -> {
          boolean done = outcome.result() == Result.DONE && term == term(shard);
          if (done) {
            LOG.info("cares for the workers of shard {} under term {}", shard, term);
            caringUntilMicros[shard] = times.delegateUntilMicros(sent);
          }
          then.accept(done);
        });
  }

  /** Who cares for a shard's workers and could take it, if most of them are silent here. */
  private String rescuer(int shard) {
    StateStore.Entry care = stateStore.get(careKey(shard));
    if (care == null || Json.num(care.data(), "term", 0) != term(shard)) {
      return null;
    }
    String by = Json.text(care.data(), "by");
    boolean able = !settings.node().equals(by) && stateStore.get(ALIVE + by) != null;
    return able && caredUntilMicros(shard) > nowMicros && listener.silent(shard) ? by : null;
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
    nowMicros = now;
    if (!stateStore.loaded()) {
      return;
    }
    if (alive && !announced()) {
      // Somebody else's write, or the end of the lease that it was attached to, took it away: the
      // others may have taken our shards since.
      LOG.info("the liveness key is not ours any more");
      alive = false;
      List.copyOf(owned).forEach(this::drop);
      nextRenewMicros = now;
    }
    if (!renewing && now >= nextRenewMicros) {
      renew();
    }
    if (alive && now >= nextBarrierMicros) {
      // The copy must be known to be current for as long as the lease is to hold: a lease that
      // is renewed while the watch is stuck would hide a cancellation or a takeover.
      nextBarrierMicros = now + ttlMicros / 8;
      stateStore.barrier(
          () -> {}, () -> nextBarrierMicros = Math.min(nextBarrierMicros, nowMicros + 700_000));
    }
    if (alive) {
      format.tick(now);
    }
    if (alive && !moving && now >= nextMoveMicros) {
      nextMoveMicros = now + 50_000;
      move();
    }
  }

  private void renew() {
    renewing = true;
    long sent = nowMicros;
    if (grant == 0) {
      alive = false;
      stateStore.urgent(
          "POST",
          "/holds",
          Json.of("ttlMs", ttlMicros / 1000),
          CALL_MICROS,
          reply -> {
            renewing = false;
            if (reply.status() == 200) {
              grant = Json.num(reply.object(), "grant", 0);
              renewedMicros = sent;
              announce();
            }
            nextRenewMicros = nowMicros + (grant == 0 ? STEP_MICROS : ttlMicros / 8);
          });
      return;
    }
    stateStore.urgent(
        "POST",
        "/holds/" + grant + "/extend",
        null,
        CALL_MICROS,
        reply -> {
          renewing = false;
          if (reply.status() == 200) {
            renewedMicros = sent;
            nextRenewMicros = nowMicros + ttlMicros / 8;
            if (!alive) {
              announce();
            }
          } else if (reply.status() == 404) {
            LOG.info("state lease {} has ended; a new one is taken", grant);
            grant = 0;
            alive = false;
            List.copyOf(owned).forEach(this::drop);
            nextRenewMicros = nowMicros;
          } else {
            nextRenewMicros = nowMicros + STEP_MICROS;
          }
        });
  }

  /**
   * Puts up the liveness key under the new lease, over one that a former life may have left. The
   * write is conditional on what the copy shows: a former life's, carried out late, must not take
   * the key from this one, since it would go with the former lease and the shards with it.
   */
  private void announce() {
    if (announcing) {
      return;
    }
    announcing = true;
    long with = grant;
    if (announced()) {
      settle(with);
      return;
    }
    String key = ALIVE + settings.node();
    Map<String, Object> data =
        Json.of(FIELD_INCARNATION, with, ClusterFormat.FIELD_FORMAT, ClusterFormat.ANNOUNCED);
    Write write = new Write(key, data, with);
    stateStore.takeWrites(1, 0);
    stateStore.commit(
        Map.of(key, stateStore.stamp(key)),
        List.of(write),
        outcome -> {
          if (outcome.result() == Result.DONE && with == grant) {
            settle(with);
            return;
          }
          announcing = false;
          if (outcome.result() == Result.BAD && with == grant) {
            grant = 0;
            nextRenewMicros = nowMicros;
          } else {
            nextRenewMicros = nowMicros + STEP_MICROS;
          }
        });
  }

  /** The key is up; what others did while it was not must be in the copy before we act. */
  private void settle(long with) {
    stateStore.barrier(
        () -> {
          announcing = false;
          if (with == grant && announced()) {
            alive = true;
            LOG.info("alive as {} under state lease {}", settings.node(), grant);
          } else {
            nextRenewMicros = nowMicros;
          }
        },
        () -> {
          announcing = false;
          nextRenewMicros = nowMicros + STEP_MICROS;
        });
  }

  /** One step of moving shards: give ours back, take lapsed ones, make stamps new. */
  private void move() {
    for (int shard = 0; shard < nodes.size(); shard++) {
      StateStore.Entry entry = stateStore.get(shardKey(shard));
      String owner = entry == null ? null : Json.text(entry.data(), FIELD_OWNER);
      boolean mine = settings.node().equals(owner);
      boolean thisLife = mine && Json.num(entry.data(), FIELD_INCARNATION, 0) == grant;
      if (owned.contains(shard) && !thisLife) {
        drop(shard);
      }
      if (thisLife && !owned.contains(shard)) {
        gain(shard);
      }
      if (thisLife) {
        lapsedSince[shard] = 0;
        if (unclear.contains(shard) || yielding.contains(shard)) {
          take(shard, entry, settings.node(), grant, Map.of());
          return;
        }
        String heir = rescuer(shard);
        if (heir == null && shard != home && nowMicros >= keepUntilMicros[shard]) {
          heir = nodes.get(shard);
        }
        StateStore.Entry heirAlive = heir == null ? null : stateStore.get(ALIVE + heir);
        if (heirAlive != null) {
          // The home node is back, or another reaches the workers. From here until the outcome
          // is known no worker of the shard is answered, so that its new owner may count from
          // the change of hands.
          if (take(
              shard,
              entry,
              heir,
              Json.num(heirAlive.data(), FIELD_INCARNATION, 0),
              Map.of(ALIVE + heir, heirAlive.stamp()))) {
            yielding.add(shard);
          }
          return;
        }
        continue;
      }
      if (owner == null || mine) {
        // Nobody's yet, or this node's own from a former life.
        if (mine || shard == home || waited(shard)) {
          take(shard, entry, settings.node(), grant, Map.of());
          return;
        }
        continue;
      }
      if (stateStore.get(ALIVE + owner) != null) {
        lapsedSince[shard] = 0;
      } else if (shard == home || waited(shard)) {
        take(shard, entry, settings.node(), grant, Map.of(ALIVE + owner, 0L));
        return;
      }
    }
  }

  /** Nodes that come later in the ring wait a little longer, so that mostly one tries. */
  private boolean waited(int shard) {
    if (lapsedSince[shard] == 0) {
      lapsedSince[shard] = nowMicros;
    }
    int place = Math.floorMod(home - shard - 1, nodes.size());
    return nowMicros - lapsedSince[shard] >= 100_000 + 500_000L * (place + owned.size());
  }

  private boolean take(
      int shard, StateStore.Entry entry, String to, long inc, Map<String, Long> alsoIf) {
    if (!stateStore.takeWrites(2, 0)) {
      return false;
    }
    StateStore.Entry counter = stateStore.get(TERM);
    long term = 1 + (counter == null ? 0 : Json.num(counter.data(), "n", 0));
    Map<String, Long> conditions = new LinkedHashMap<>(alsoIf);
    conditions.put(shardKey(shard), entry == null ? 0 : entry.stamp());
    conditions.put(TERM, counter == null ? 0 : counter.stamp());
    // A former life's or a lapsed life's write must not take anything: the lease must stand.
    conditions.put(ALIVE + settings.node(), stateStore.stamp(ALIVE + settings.node()));
    List<Write> writes = new ArrayList<>();
    writes.add(
        Write.put(shardKey(shard), Json.of(FIELD_OWNER, to, FIELD_INCARNATION, inc, "term", term)));
    writes.add(Write.put(TERM, Json.of("n", term)));
    moving = true;
    stateStore.commit(
        conditions,
        writes,
        outcome -> {
          switch (outcome.result()) {
            case DONE -> {
              LOG.info("shard {} now with {} under term {}", shard, to, term);
              yielding.remove(shard);
              moving = false;
              if (to.equals(settings.node())) {
                // Earlier commits of unclear fate are void now; wait until the copy holds all.
                moving = true;
                stateStore.whenAt(
                    outcome.epoch(),
                    () -> {
                      moving = false;
                      unclear.remove(shard);
                      if (inc == grant && stillMine(shard)) {
                        gain(shard);
                      }
                    });
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
        });
    return true;
  }

  private boolean stillMine(int shard) {
    StateStore.Entry entry = stateStore.get(shardKey(shard));
    return entry != null
        && settings.node().equals(Json.text(entry.data(), FIELD_OWNER))
        && Json.num(entry.data(), FIELD_INCARNATION, 0) == grant;
  }

  private void gain(int shard) {
    if (owned.add(shard)
        && caring[shard] > 0
        && nowMicros - caringUntilMicros[shard] < KEEP_MICROS) {
      keepUntilMicros[shard] = nowMicros + KEEP_MICROS;
    }
    caring[shard] = 0;
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
