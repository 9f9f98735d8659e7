package gladeknot.state;

import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The client of the state service: the watch cache, transactions, leases, and the read barrier that
 * proves that the cache is as recent as some moment.
 */
public final class StateStore {
  private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);

  /** All keys lie under one prefix, so that one watch sees every change. */
  public static final String ROOT = "g/";

  /** A key that is never written: a read of it shows the store's revision alone. */
  private static final String BARRIER_KEY = ROOT + "-";

  private static final long COMMIT_TIMEOUT_MICROS = 2_500_000;
  private static final long LEASE_TIMEOUT_MICROS = 2_000_000;

  private final ChangeListener listener;
  private final TransactionLimits limits;
  private final RequestLimits requestLimits;
  private final StateServiceClient client;
  private final WatchCache cache = new WatchCache();
  private final ReadBarriers barriers = new ReadBarriers();
  private final CacheLag lag = new CacheLag();
  private final CacheSynchronizer synchronizer;
  private long nowMicros;

  /** A client that has read nothing yet. */
  public StateStore(
      Settings settings, Outbox outbox, RandomGenerator random, ChangeListener listener) {
    this.listener = listener;
    this.limits = new TransactionLimits(settings);
    this.requestLimits = new RequestLimits(settings, limits);
    this.client = new StateServiceClient(settings.stateAddress(), outbox, requestLimits);
    this.synchronizer = new CacheSynchronizer(client, cache, barriers, lag, listener, random);
  }

  /** What transactions and values may hold. */
  public TransactionLimits limits() {
    return limits;
  }

  /** Whether the cache holds all keys and is being watched. */
  public boolean loaded() {
    return synchronizer.loaded();
  }

  /** The store's revision up to which the cache holds all changes. */
  public long revision() {
    return cache.revision();
  }

  /** How far the watch is behind own commits. */
  public CacheLag lag() {
    return lag;
  }

  /** When the cache is known to have been current, in microseconds of the steady clock. */
  public long currentAsOfMicros() {
    return barriers.currentAsOfMicros();
  }

  /** The cached entry of a key; null if there is none. */
  public Entry get(String key) {
    return cache.get(key);
  }

  /** The revision of a key's last change in the cache; 0 if there is no such key. */
  public long modRevision(String key) {
    return cache.modRevision(key);
  }

  /** A live view of the cached entries whose keys have a prefix. */
  public SortedMap<String, Entry> withPrefix(String prefix) {
    return cache.withPrefix(prefix);
  }

  /**
   * Takes the tokens of one transaction with so many writes; returns whether there were enough.
   *
   * @param keepShare the part of the burst, 0 to 1, that is left to more urgent transactions
   */
  public boolean tryAcquireWrites(int count, double keepShare) {
    return requestLimits.tryAcquireWrites(count, keepShare);
  }

  /** How many writes there are tokens for, leaving a share of the burst to more urgent ones. */
  public int availableWrites(double keepShare) {
    return requestLimits.availableWrites(keepShare);
  }

  /** Advances the time, lists, watches, and reads for the barriers, each when it is time. */
  public void tick(long now) {
    nowMicros = now;
    lag.tick(now);
    requestLimits.tick(now);
    synchronizer.tick(now);
    if (loaded() && barriers.wantRead(now) && requestLimits.tryAcquireRead()) {
      readForBarriers();
    }
    barriers.expire(now);
  }

  private void readForBarriers() {
    List<ReadBarriers.Barrier> batch = barriers.startRead(nowMicros);
    client.call(
        "GET",
        StateServiceCodec.keyPath(BARRIER_KEY),
        null,
        ReadBarriers.WAIT_MICROS,
        reply ->
            barriers.finishRead(
                batch, StateServiceCodec.revisionOfAbsentKey(reply), cache.revision()));
  }

  /** Runs something once the cache has reached a revision, however long that takes. */
  public void whenRevisionReached(long wanted, Runnable then) {
    if (loaded() && cache.revision() >= wanted) {
      then.run();
    } else {
      barriers.whenRevisionReached(wanted, then);
    }
  }

  /** Runs {@code then} once the cache has reached a revision, or else soon {@code failed}. */
  public void whenRevisionReached(long wanted, Runnable then, Runnable failed) {
    if (loaded() && cache.revision() >= wanted) {
      then.run();
    } else {
      barriers.whenRevisionReached(wanted, then, failed, nowMicros);
    }
  }

  /**
   * Runs one of two things: {@code fresh} once the cache is as recent as this moment, {@code
   * failed} when that can't be proved soon. Many barriers share one read.
   */
  public void readBarrier(Runnable fresh, Runnable failed) {
    barriers.request(fresh, failed, nowMicros);
  }

  /**
   * Sends a transaction. The caller acquires its tokens, see {@link #tryAcquireWrites}.
   *
   * @param conditions the revision that each of these keys must have; 0 for an absent key
   */
  public void commit(
      Map<String, Long> conditions, List<Mutation> mutations, Consumer<CommitOutcome> then) {
    client.call(
        "POST",
        TransactionCodec.PATH,
        TransactionCodec.body(conditions, mutations),
        COMMIT_TIMEOUT_MICROS,
        reply -> then.accept(onCommitReply(reply, mutations)));
  }

  private CommitOutcome onCommitReply(Outbox.Reply reply, List<Mutation> mutations) {
    CommitOutcome outcome = TransactionCodec.outcome(reply);
    switch (outcome.status()) {
      case COMMITTED -> {
        lag.onCommitted(outcome.revision());
        listener.onChanges(cache.applyCommitted(mutations, outcome.revision()));
      }
      case REJECTED -> onRejected(reply, mutations);
      case CONFLICT, UNAVAILABLE, THROTTLED, UNKNOWN -> {
        // Nothing is known to have changed.
      }
    }
    return outcome;
  }

  private void onRejected(Outbox.Reply reply, List<Mutation> mutations) {
    LOG.error(
        "transaction rejected error={} sizes={}",
        TransactionCodec.error(reply),
        TransactionCodec.sizes(mutations));
    if (!TransactionCodec.isMissingLease(reply)) {
      limits.onSizeRejection();
    }
  }

  /**
   * Asks for a lease; never waits for tokens.
   *
   * @param then takes the lease's identifier, or nothing if none was granted
   */
  public void grantLease(long ttlMicros, Consumer<OptionalLong> then) {
    client.callUnthrottled(
        "POST",
        StateServiceCodec.LEASES_PATH,
        StateServiceCodec.leaseRequest(ttlMicros),
        LEASE_TIMEOUT_MICROS,
        reply ->
            then.accept(
                reply.status() == StateServiceCodec.OK
                    ? OptionalLong.of(StateServiceCodec.grantedLease(reply))
                    : OptionalLong.empty()));
  }

  /** Renews a lease; never waits for tokens. */
  public void renewLease(long leaseId, Consumer<LeaseRenewal> then) {
    client.callUnthrottled(
        "POST",
        StateServiceCodec.renewalPath(leaseId),
        null,
        LEASE_TIMEOUT_MICROS,
        reply ->
            then.accept(
                switch (reply.status()) {
                  case StateServiceCodec.OK -> LeaseRenewal.RENEWED;
                  case StateServiceCodec.NOT_FOUND -> LeaseRenewal.EXPIRED;
                  default -> LeaseRenewal.UNKNOWN;
                }));
  }
}
