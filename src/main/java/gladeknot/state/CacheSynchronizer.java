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
 * Keeps the watch cache current: lists all keys once, then watches them with long polls. If the
 * service has compacted the starting revision of a watch, the keys are listed again.
 *
 * <p>Each page of a list may be read at a later revision than the page before it. After such a
 * list, the cache may contain the changes of a transaction for some of its keys but not for others.
 * Therefore the cache counts as loaded only once the watch has reached the revision of the last
 * page.
 */
final class CacheSynchronizer {
  private static final Logger LOG = LoggerFactory.getLogger(CacheSynchronizer.class);

  private static final long LIST_TIMEOUT_MICROS = 5_000_000;
  private static final int LIST_PAGE_SIZE = 400;
  private static final int WATCH_WAIT_MILLIS = 8_000;

  /** Time by which the timeout of a watch exceeds the time that the service may wait for events. */
  private static final long WATCH_TIMEOUT_MARGIN_MICROS = 4_000_000;

  private static final long MICROS_PER_MILLI = 1000;

  /** Minimum interval between the reply to a watch and the next watch. */
  private static final long WATCH_INTERVAL_MICROS = 110_000;

  /** Backoff after a failed list or watch, to which a random jitter is added. */
  private static final long BACKOFF_MICROS = 200_000;

  private static final int BACKOFF_JITTER_MICROS = 300_000;
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

  /** Revision of the first page. The cache holds all changes up to it. */
  private long listedRevision;

  /** Revision of the last page. The cache may hold changes up to it. */
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

  /**
   * Returns whether all keys have been listed and the watch has reached the revision of the last
   * page.
   */
  boolean loaded() {
    return listed && cache.revision() >= lastPageRevision;
  }

  /** Starts a list or a watch when one is due. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (!listed && !listing && currentMicros >= backOffUntilMicros) {
      listing = true;
      listedEntries = new TreeMap<>();
      listedRevision = UNKNOWN_REVISION;
      list("");
    }
    if (listed && !watching && currentMicros >= Math.max(backOffUntilMicros, nextWatchMicros)) {
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
    backOffUntilMicros = nowMicros + BACKOFF_MICROS + random.nextInt(BACKOFF_JITTER_MICROS);
  }

  private void watch() {
    watching = true;
    // Before the cache is loaded, the service must answer at once, because its revision is needed
    // even if none of these keys has changed.
    int waitMillis = loaded() ? WATCH_WAIT_MILLIS : 0;
    client.callUnthrottled(
        "GET",
        StateServiceCodec.watchPath(StateStore.ROOT, cache.revision(), waitMillis),
        null,
        waitMillis * MICROS_PER_MILLI + WATCH_TIMEOUT_MARGIN_MICROS,
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
    // Every change by any controller ends a watch. Without this interval, watches alone would use
    // up the request rate that transactions need.
    nextWatchMicros = nowMicros + WATCH_INTERVAL_MICROS;
    onRevisionReached();
  }

  private void onRevisionReached() {
    if (!loaded()) {
      return;
    }
    lag.onRevisionReached(cache.revision());
    // Notify the listener first: the barriers' callbacks may rely on what it has processed.
    listener.onRevisionReached();
    barriers.onRevisionReached(cache.revision());
  }
}
