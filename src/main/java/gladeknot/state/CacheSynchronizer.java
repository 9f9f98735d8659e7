package gladeknot.state;

import gladeknot.outbox.Outbox;
import gladeknot.state.StateServiceCodec.WatchReply;
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

  private static final int WATCH_WAIT_MILLIS = 8_000;

  /** Time by which the timeout of a watch exceeds the time that the service may wait for events. */
  private static final long WATCH_TIMEOUT_MARGIN_MICROS = 4_000_000;

  private static final long MICROS_PER_MILLI = 1000;

  /** Minimum interval between the reply to a watch and the next watch. */
  private static final long WATCH_INTERVAL_MICROS = 110_000;

  private final StateServiceClient client;
  private final WatchCache cache;
  private final ReadBarriers barriers;
  private final CacheLag lag;
  private final ChangeListener listener;
  private final KeyLister lister;
  private final RetryBackoff watchBackoff;
  private boolean listed;
  private boolean watching;
  private long nextWatchMicros;

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
    this.lister = new KeyLister(client, random, cache::affects, this::onListed);
    this.watchBackoff = new RetryBackoff(random);
  }

  /**
   * Returns whether all keys have been listed and the watch has reached the revision of the last
   * page.
   */
  boolean loaded() {
    return listed && cache.revision() >= lastPageRevision;
  }

  /** Continues the list, or starts a watch, when due. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (!listed) {
      lister.tick(currentMicros);
    } else if (!watching
        && currentMicros >= nextWatchMicros
        && watchBackoff.isOver(currentMicros)) {
      watch();
    }
  }

  private void onListed(KeyLister.Listing listing) {
    listed = true;
    lastPageRevision = listing.lastRevision();
    listener.onChanges(cache.applyList(listing.entries(), listing.firstRevision()));
    LOG.info(
        "state loaded revision={} last_page_revision={} keys={}",
        cache.revision(),
        lastPageRevision,
        cache.size());
    onRevisionReached();
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
      watchBackoff.onFailure(nowMicros);
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
