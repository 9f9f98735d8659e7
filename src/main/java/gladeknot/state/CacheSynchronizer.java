package gladeknot.state;

import gladeknot.outbox.Outbox;
import gladeknot.state.StateServiceCodec.ListPage;
import gladeknot.state.StateServiceCodec.ListedKey;
import gladeknot.state.StateServiceCodec.WatchReply;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the watch cache current: lists all keys once, then watches them with long polls. A watch
 * whose starting revision the service has compacted leads to a new list.
 *
 * <p>Later pages of a list may show later changes than earlier ones, so that a transaction may show
 * in one of its keys and not yet in another. The cache counts as loaded once the watch has reached
 * the revision of the last page.
 */
final class CacheSynchronizer {
  private static final Logger LOG = LoggerFactory.getLogger(CacheSynchronizer.class);

  private static final long LIST_TIMEOUT_MICROS = 5_000_000;
  private static final int LIST_PAGE_SIZE = 400;
  private static final int WATCH_WAIT_MILLIS = 8_000;

  /** How much longer than a watch may wait its answer is waited for. */
  private static final long WATCH_MARGIN_MICROS = 4_000_000;

  private static final long MICROS_A_MILLI = 1000;

  /** Between two watches. */
  private static final long WATCH_INTERVAL_MICROS = 110_000;

  /** Until the next attempt after one that failed, with a random part. */
  private static final long BACK_OFF_MICROS = 200_000;

  private static final int BACK_OFF_JITTER_MICROS = 300_000;
  private static final long UNKNOWN_REVISION = -1;

  private final StateServiceClient client;
  private final WatchCache cache;
  private final ReadBarriers barriers;
  private final CacheLag lag;
  private final ChangeListener listener;
  private final RandomGenerator random;
  private boolean listed;
  private boolean listing;
  private boolean watching;
  private long backOffUntilMicros;
  private long nextWatchMicros;
  private TreeMap<String, Entry> listedEntries;

  /** The revision of the first page: the cache holds at least all changes up to it. */
  private long listedRevision;

  /** The revision of the last page: the cache may hold changes up to it. */
  private long lastPageRevision;

  private long nowMicros;

  CacheSynchronizer(
      StateServiceClient client,
      WatchCache cache,
      ReadBarriers barriers,
      CacheLag lag,
      ChangeListener listener,
      RandomGenerator random) {
    this.client = client;
    this.cache = cache;
    this.barriers = barriers;
    this.lag = lag;
    this.listener = listener;
    this.random = random;
  }

  /** Whether the cache holds all keys and is being watched. */
  boolean loaded() {
    return listed && cache.revision() >= lastPageRevision;
  }

  /** Starts a list or a watch when it is time. */
  void tick(long now) {
    nowMicros = now;
    if (!listed && !listing && now >= backOffUntilMicros) {
      listing = true;
      listedEntries = new TreeMap<>();
      listedRevision = UNKNOWN_REVISION;
      list("");
    }
    if (listed && !watching && now >= Math.max(backOffUntilMicros, nextWatchMicros)) {
      watch();
    }
  }

  private void list(String afterKey) {
    client.callUnthrottled(
        "GET",
        StateServiceCodec.listPath(StateStore.ROOT, afterKey, LIST_PAGE_SIZE),
        null,
        LIST_TIMEOUT_MICROS,
        reply -> onListReply(afterKey, reply));
  }

  private void onListReply(String afterKey, Outbox.Reply reply) {
    if (reply.status() != StateServiceCodec.OK) {
      listing = false;
      backOff();
      return;
    }
    ListPage page = StateServiceCodec.listPage(reply);
    if (listedRevision < 0) {
      listedRevision = page.revision();
    }
    lastPageRevision = page.revision();
    String lastKey = afterKey;
    for (ListedKey item : page.keys()) {
      lastKey = item.key();
      listedEntries.put(lastKey, item.entry());
    }
    if (page.more() && !lastKey.equals(afterKey)) {
      list(lastKey);
    } else {
      finishList();
    }
  }

  private void finishList() {
    listing = false;
    listed = true;
    TreeMap<String, Entry> complete = listedEntries;
    listedEntries = null;
    listener.onChanges(cache.applyList(complete, listedRevision));
    LOG.info(
        "state loaded revision={} last_page_revision={} keys={}",
        cache.revision(),
        lastPageRevision,
        cache.size());
    onRevisionReached();
  }

  private void backOff() {
    backOffUntilMicros = nowMicros + BACK_OFF_MICROS + random.nextInt(BACK_OFF_JITTER_MICROS);
  }

  private void watch() {
    watching = true;
    // After a list in pages the revision is wanted, whether or not there are changes of these keys.
    int waitMillis = loaded() ? WATCH_WAIT_MILLIS : 0;
    client.callUnthrottled(
        "GET",
        StateServiceCodec.watchPath(StateStore.ROOT, cache.revision(), waitMillis),
        null,
        waitMillis * MICROS_A_MILLI + WATCH_MARGIN_MICROS,
        this::onWatchReply);
  }

  private void onWatchReply(Outbox.Reply reply) {
    watching = false;
    if (reply.status() == StateServiceCodec.COMPACTED) {
      listed = false;
      return;
    }
    if (reply.status() != StateServiceCodec.OK) {
      backOff();
      return;
    }
    WatchReply watched = StateServiceCodec.watchReply(reply);
    listener.onChanges(cache.applyEvents(watched.events()));
    cache.advanceTo(watched.revision().orElse(cache.revision()));
    // Every change of every controller ends a watch: started again at once, watches alone would
    // use up the requests that transactions need.
    nextWatchMicros = nowMicros + WATCH_INTERVAL_MICROS;
    onRevisionReached();
  }

  private void onRevisionReached() {
    if (!loaded()) {
      return;
    }
    lag.onRevisionReached(cache.revision());
    // The listener first: what waited for the revision may rely on what it takes in.
    listener.onRevisionReached();
    barriers.reached(cache.revision());
  }
}
