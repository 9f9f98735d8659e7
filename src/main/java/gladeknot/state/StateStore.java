package gladeknot.state;

import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the state service: the watch cache, transactions, leases, and the read barrier, which
 * proves that the cache is as recent as a point in time.
 */
public final class StateStore {
  private static final Logger LOG = LoggerFactory.getLogger(StateStore.class);

  /** Common prefix of all keys that are listed and watched, so that one watch covers all. */
  public static final String ROOT = "g/";

  /** Common prefix of keys that are neither listed nor watched, but read one by one. */
  public static final String ARCHIVE_ROOT = "h/";

  /** Key that is never written. A read of this key returns only the state service's revision. */
  private static final String BARRIER_KEY = ROOT + "-";

  private static final long COMMIT_TIMEOUT_MICROS = 2_500_000;
  private static final long PAGE_TIMEOUT_MICROS = 5_000_000;
  private static final long LEASE_TIMEOUT_MICROS = 2_000_000;

  private final ChangeListener listener;
  private final TransactionLimits limits;
  private final RequestLimits requestLimits;
  private final StateServiceClient client;
  private final KeyReader keyReader;
  private final WatchCache cache;
  private final ReadBarriers barriers = new ReadBarriers();
  private final CacheLag lag = new CacheLag();
  private final CacheSynchronizer synchronizer;
  private long nowMicros;

  /** Creates a client with an empty cache that keeps all keys. */
  public StateStore(
      Settings settings, Outbox outbox, RandomGenerator random, ChangeListener listener) {
    this(settings, outbox, random, CacheFilter.KEEP_ALL, listener);
  }

  /** Creates a client with an empty cache that keeps what the filter selects. */
  public StateStore(
      Settings settings,
      Outbox outbox,
      RandomGenerator random,
      CacheFilter filter,
      ChangeListener listener) {
    this.cache = new WatchCache(filter);
    this.listener = listener;
    this.limits = new TransactionLimits(settings);
    this.requestLimits = new RequestLimits(settings, limits);
    this.client = new StateServiceClient(settings.stateAddress(), outbox, requestLimits);
    this.keyReader = new KeyReader(client);
    ReferenceReader references = new ReferenceReader(filter, keyReader, random);
    this.synchronizer =
        new CacheSynchronizer(client, cache, references, barriers, lag, listener, random);
  }

  /** Returns the size limits of transactions and values. */
  public TransactionLimits limits() {
    return limits;
  }

  /**
   * Returns whether all keys have been listed and the watch has reached the revision of the last
   * page of the list.
   */
  public boolean loaded() {
    return synchronizer.loaded();
  }

  /** Returns the revision up to which the cache holds all changes. */
  public long revision() {
    return cache.revision();
  }

  /** Returns the lag of the watch behind this controller's own commits. */
  public CacheLag lag() {
    return lag;
  }

  /**
   * Returns the latest time at which the cache is known to have been current, in microseconds of
   * the steady clock.
   */
  public long currentAsOfMicros() {
    return barriers.currentAsOfMicros();
  }

  /** Returns the cached entry of a key, or null if there is none or it is not kept. */
  public Entry get(String key) {
    return cache.get(key);
  }

  /**
   * Returns the revision of the last change of a key in the cache, or 0 if there is no such key.
   */
  public long modRevision(String key) {
    return cache.modRevision(key);
  }

  /** Returns a live view of the cached entries whose keys have a prefix. */
  public SortedMap<String, Entry> withPrefix(String prefix) {
    return cache.withPrefix(prefix);
  }

  /**
   * Takes the tokens of one transaction if there are enough.
   *
   * @param count the number of writes in the transaction
   * @param reservedShare the part of the burst, 0 to 1, that is left for more urgent transactions
   * @return whether there were enough tokens
   */
  public boolean tryAcquireWrites(int count, double reservedShare) {
    return requestLimits.tryAcquireWrites(count, reservedShare);
  }

  /**
   * Returns the number of writes for which there are tokens.
   *
   * @param reservedShare the part of the burst, 0 to 1, that is left for more urgent transactions
   */
  public int availableWrites(double reservedShare) {
    return requestLimits.availableWrites(reservedShare);
  }

  /** Advances the time, and starts the lists, watches and barrier reads that are due. */
  public void tick(long currentMicros) {
    nowMicros = currentMicros;
    lag.tick(currentMicros);
    requestLimits.tick(currentMicros);
    synchronizer.tick(currentMicros);
    if (loaded() && barriers.readDue(currentMicros) && requestLimits.tryAcquireRead()) {
      readForBarriers();
    }
    barriers.expire(currentMicros);
    keyReader.tick(currentMicros);
  }

  /**
   * Reads the one key that exists among some keys, whether the cache keeps it or not.
   *
   * @param callback receives the key's state at some time after this call; or that none of the keys
   *     existed at such a time; or {@link KeyRead.Failed} if this takes longer than {@link
   *     KeyReader#TIMEOUT_MICROS}
   */
  public void readAny(List<String> keys, Consumer<KeyRead> callback) {
    keyReader.readAny(keys, callback);
  }

  private void readForBarriers() {
    List<ReadBarriers.Barrier> batch = barriers.startRead(nowMicros);
    client.call(
        "GET",
        StateServiceCodec.keyPath(BARRIER_KEY),
        null,
        ReadBarriers.TIMEOUT_MICROS,
        reply -> onBarrierReply(batch, reply));
  }

  private void onBarrierReply(List<ReadBarriers.Barrier> batch, Outbox.Reply reply) {
    if (reply.status() == StateServiceCodec.TOO_MANY_REQUESTS) {
      barriers.onReadRefused(batch);
    } else {
      barriers.finishRead(batch, StateServiceCodec.revisionOfAbsentKey(reply), cache.revision());
    }
  }

  /** Runs a callback once the cache has reached a revision, without a deadline. */
  public void whenRevisionReached(long targetRevision, Runnable callback) {
    if (loaded() && cache.revision() >= targetRevision) {
      callback.run();
    } else {
      barriers.whenRevisionReached(targetRevision, callback);
    }
  }

  /**
   * Runs {@code callback} once the cache has reached a revision, or {@code onFailed} if this takes
   * longer than the timeout of a barrier.
   */
  public void whenRevisionReached(long targetRevision, Runnable callback, Runnable onFailed) {
    if (loaded() && cache.revision() >= targetRevision) {
      callback.run();
    } else {
      barriers.whenRevisionReached(targetRevision, callback, onFailed, nowMicros);
    }
  }

  /**
   * Reads a page of the keys with a prefix in the background, after all other requests.
   *
   * @param afterKey the key after which the page begins; empty for the first page
   * @param callback receives the page, or empty if it could not be read
   * @return whether there was a request token; if not, nothing is read
   */
  public boolean tryReadPage(
      String prefix, String afterKey, int size, Consumer<Optional<ListPage>> callback) {
    if (!requestLimits.tryAcquireBackgroundRead()) {
      return false;
    }
    client.call(
        "GET",
        StateServiceCodec.listPath(prefix, afterKey, size),
        null,
        PAGE_TIMEOUT_MICROS,
        reply ->
            callback.accept(
                reply.status() == StateServiceCodec.OK
                    ? Optional.of(StateServiceCodec.listPage(reply))
                    : Optional.empty()));
    return true;
  }

  /**
   * Runs {@code onFresh} once the cache is known to hold all changes up to now, or {@code onFailed}
   * if this can't be proved before the timeout of a barrier. Many barriers share one read.
   */
  public void readBarrier(Runnable onFresh, Runnable onFailed) {
    barriers.request(onFresh, onFailed, nowMicros);
  }

  /**
   * Sends a transaction. The caller must have acquired its tokens, see {@link #tryAcquireWrites}.
   *
   * @param preconditions the revisions that keys must have, by key; 0 for an absent key
   */
  public void commit(
      Map<String, Long> preconditions, List<Mutation> mutations, Consumer<CommitOutcome> callback) {
    client.call(
        "POST",
        TransactionCodec.PATH,
        TransactionCodec.body(preconditions, mutations),
        COMMIT_TIMEOUT_MICROS,
        reply -> callback.accept(onCommitReply(reply, mutations)));
  }

  private CommitOutcome onCommitReply(Outbox.Reply reply, List<Mutation> mutations) {
    CommitOutcome outcome = TransactionCodec.outcome(reply);
    switch (outcome.status()) {
      case COMMITTED -> {
        lag.onCommitted(outcome.revision());
        listener.onChanges(cache.applyCommitted(watched(mutations), outcome.revision()));
      }
      case REJECTED -> onRejected(reply, mutations);
      case CONFLICT, UNAVAILABLE, THROTTLED, UNKNOWN -> {
        // The cache stays unchanged: the transaction is not known to be committed.
      }
    }
    return outcome;
  }

  private static List<Mutation> watched(List<Mutation> mutations) {
    return mutations.stream().filter(mutation -> mutation.key().startsWith(ROOT)).toList();
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
   * Requests a lease; never waits for tokens.
   *
   * @param callback receives the identifier of the lease, or empty if none was granted
   */
  public void grantLease(long ttlMicros, Consumer<OptionalLong> callback) {
    client.callUnthrottled(
        "POST",
        StateServiceCodec.LEASES_PATH,
        StateServiceCodec.leaseRequest(ttlMicros),
        LEASE_TIMEOUT_MICROS,
        reply ->
            callback.accept(
                reply.status() == StateServiceCodec.OK
                    ? OptionalLong.of(StateServiceCodec.grantedLease(reply))
                    : OptionalLong.empty()));
  }

  /** Renews a lease; never waits for tokens. */
  public void renewLease(long leaseId, Consumer<LeaseRenewal> callback) {
    client.callUnthrottled(
        "POST",
        StateServiceCodec.renewalPath(leaseId),
        null,
        LEASE_TIMEOUT_MICROS,
        reply ->
            callback.accept(
                switch (reply.status()) {
                  case StateServiceCodec.OK -> LeaseRenewal.RENEWED;
                  case StateServiceCodec.NOT_FOUND -> LeaseRenewal.EXPIRED;
                  default -> LeaseRenewal.UNKNOWN;
                }));
  }
}
