package gladeknot.membership;

import gladeknot.json.Json;
import gladeknot.settings.Settings;
import gladeknot.state.CommitStatus;
import gladeknot.state.Entry;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Entries in the state service by which a controller that a shard's workers can reach renews their
 * leases for a while in the owner's place.
 */
final class LeaseDelegations {
  private static final Logger LOG = LoggerFactory.getLogger(LeaseDelegations.class);

  private static final String KEYS = StateStore.ROOT + "care/";
  private static final String FIELD_DELEGATE = "by";
  private static final String FIELD_TERM = "term";

  /** How many such entries one controller makes for one term. */
  private static final int MAX_ENTRIES = 2;

  private final Settings settings;
  private final StateStore stateStore;
  private final LeaseTimes times;

  /** By shard: as its owner, the newest entry seen and until when it is reckoned with. */
  private final long[] seenStamp;

  private final long[] seenUntilMicros;

  /** By shard: as a delegate, the term of our entries, their number and until when they last. */
  private final long[] ownTerm;

  private final int[] ownEntries;
  private final long[] ownUntilMicros;
  private long nowMicros;

  LeaseDelegations(Settings settings, StateStore stateStore, LeaseTimes times) {
    this.settings = settings;
    this.stateStore = stateStore;
    this.times = times;
    int shards = settings.nodes().size();
    this.seenStamp = new long[shards];
    this.seenUntilMicros = new long[shards];
    this.ownTerm = new long[shards];
    this.ownEntries = new int[shards];
    this.ownUntilMicros = new long[shards];
  }

  static String key(int shard) {
    return KEYS + shard;
  }

  void now(long micros) {
    nowMicros = micros;
  }

  /** The stamp of the newest entry by which another controller acts as a shard's delegate. */
  long revision(int shard) {
    return seenStamp[shard];
  }

  /** Until when another controller may renew the leases of a shard's workers. */
  long untilMicros(int shard) {
    long stamp = stateStore.modRevision(key(shard));
    if (stamp != seenStamp[shard]) {
      seenStamp[shard] = stamp;
      seenUntilMicros[shard] = times.delegatedUntilMicros(nowMicros);
    }
    return seenUntilMicros[shard];
  }

  /** Whether an entry of this controller for a shard's present term has not run out. */
  boolean holds(int shard, long term) {
    return ownTerm[shard] == term && nowMicros < ownUntilMicros[shard];
  }

  /** Who is delegate for a shard's present term and alive; null if there is none but ourselves. */
  String delegate(int shard, long term) {
    Entry entry = stateStore.get(key(shard));
    if (entry == null || Json.num(entry.data(), FIELD_TERM, 0) != term) {
      return null;
    }
    String by = Json.text(entry.data(), FIELD_DELEGATE);
    boolean able = !settings.node().equals(by) && StateLease.isAlive(stateStore, by);
    return able && untilMicros(shard) > nowMicros ? by : null;
  }

  /** Enters this controller as a shard's delegate, a few times a term at most. */
  void enter(int shard, long term, Consumer<Boolean> then) {
    if (ownTerm[shard] != term) {
      ownTerm[shard] = term;
      ownEntries[shard] = 0;
      ownUntilMicros[shard] = 0;
    }
    if (ownEntries[shard] >= MAX_ENTRIES || !stateStore.tryAcquireWrites(1, 0)) {
      then.accept(false);
      return;
    }
    ownEntries[shard]++;
    long sent = nowMicros;
    String shardKey = Membership.shardKey(shard);
    String aliveKey = StateLease.key(settings.node());
    stateStore.commit(
        Map.of(
            shardKey, stateStore.modRevision(shardKey), aliveKey, stateStore.modRevision(aliveKey)),
        List.of(
            Mutation.put(key(shard), Json.of(FIELD_DELEGATE, settings.node(), FIELD_TERM, term))),
        outcome -> {
          boolean done =
              outcome.status() == CommitStatus.COMMITTED
                  && term == Membership.term(stateStore, shard);
          if (done) {
            LOG.info("cares for the workers of shard {} under term {}", shard, term);
            ownUntilMicros[shard] = times.delegateUntilMicros(sent);
          }
          then.accept(done);
        });
  }

  /**
   * The shard has become ours, and what was entered for it is over. Returns whether its workers
   * were served by us in its former owner's place within the given time.
   */
  boolean settle(int shard, long withinMicros) {
    boolean served = ownEntries[shard] > 0 && nowMicros - ownUntilMicros[shard] < withinMicros;
    ownEntries[shard] = 0;
    return served;
  }
}
