package gladeknot.state;

import gladeknot.outbox.Outbox;
import gladeknot.state.StateServiceCodec.WatchEvent;
import gladeknot.state.StateServiceCodec.WatchReply;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
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
  private final ReferenceReader references;
  private final ReadBarriers barriers;
  private final CacheLag lag;
  private final ChangeListener listener;
  private final KeyLister lister;
  private final RetryBackoff watchBackoff;
  private boolean listed;

  /** True while a complete list waits for records that it refers to. */
  private boolean resolvingList;

  private boolean watching;
  private long nextWatchMicros;

  /** Revision of the last page. The cache may hold changes up to it. */
  private long lastPageRevision;

  private long nowMicros;

  CacheSynchronizer(
      StateServiceClient client,
      WatchCache cache,
      ReferenceReader references,
      ReadBarriers barriers,
      CacheLag lag,
      ChangeListener listener,
      RandomGenerator random) {
    this.client = client;
    this.cache = cache;
    this.references = references;
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
    references.tick(currentMicros);
    if (resolvingList) {
      return;
    }
    if (!listed) {
      lister.tick(currentMicros);
    } else if (!watching
        && currentMicros >= nextWatchMicros
        && watchBackoff.isOver(currentMicros)) {
      watch();
    }
  }

  private void onListed(KeyLister.Listing listing) {
    List<ListedKey> records = new ArrayList<>();
    listing.entries().forEach((key, entry) -> records.add(new ListedKey(key, entry)));
    resolvingList = true;
    references.resolve(
        records, listing.newestSkipped(), referenced -> applyList(listing, referenced));
  }

  private void applyList(KeyLister.Listing listing, List<Change> referenced) {
    resolvingList = false;
    listed = true;
    lastPageRevision = listing.lastRevision();
    List<Change> changes = cache.applyList(listing.entries(), listing.firstRevision());
    changes.addAll(referenced);
    listener.onChanges(changes);
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
    if (reply.status() == StateServiceCodec.OK) {
      WatchReply watched = StateServiceCodec.watchReply(reply);
      references.resolve(
          written(watched.events()), Map.of(), referenced -> applyWatched(watched, referenced));
      return;
    }
    watching = false;
    if (reply.status() == StateServiceCodec.COMPACTED) {
      listed = false;
    } else {
      watchBackoff.onFailure(nowMicros);
    }
  }

  private static List<ListedKey> written(List<WatchEvent> events) {
    return events.stream()
        .filter(event -> event.key() != null && event.data() != null)
        .map(event -> new ListedKey(event.key(), new Entry(event.data(), event.modRevision())))
        .toList();
  }

  private void applyWatched(WatchReply watched, List<Change> referenced) {
    watching = false;
    List<Change> changes = cache.applyEvents(watched.events());
    changes.addAll(referenced);
    listener.onChanges(changes);
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
