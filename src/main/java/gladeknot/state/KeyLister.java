package gladeknot.state;

import gladeknot.outbox.Outbox;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads all keys with the common prefix, page by page, within this controller's part of the request
 * rate.
 *
 * <p>All controllers may list at the same time, for example after a crash of all of them. Therefore
 * each page waits for a request token, which also leaves the rate to lease renewals. A page that is
 * refused or not answered is requested again after a backoff; the pages read before are kept.
 */
final class KeyLister {
  private static final Logger LOG = LoggerFactory.getLogger(KeyLister.class);

  private static final long TIMEOUT_MICROS = 5_000_000;

  /** Number of keys of a page: the most that the state service returns. */
  private static final int PAGE_SIZE = 1000;

  private static final int MAX_NEWEST_SKIPPED = 4096;

  private static final String FIRST_PAGE = "";
  private static final long UNKNOWN_REVISION = -1;
  private static final long MICROS_PER_MILLI = 1000;

  /**
   * The selected keys of a complete list.
   *
   * @param firstRevision revision of the first page; the entries hold all changes up to it
   * @param lastRevision revision of the last page; the entries may hold changes up to it
   * @param newestSkipped the newest of the keys that were not selected
   */
  record Listing(
      TreeMap<String, Entry> entries,
      long firstRevision,
      long lastRevision,
      Map<String, Entry> newestSkipped) {}

  /** Decides which of the listed keys are passed on. */
  interface Selection {
    boolean includes(ListedKey listed);
  }

  private final StateServiceClient client;
  private final Selection selection;
  private final RetryBackoff backoff;
  private final Consumer<Listing> onComplete;
  private TreeMap<String, Entry> entries;

  /** The newest keys that were not selected, the oldest of them first. */
  private final PriorityQueue<ListedKey> newestSkipped =
      new PriorityQueue<>(Comparator.comparingLong(listed -> listed.entry().modRevision()));

  private String afterKey;
  private long firstRevision;
  private boolean pageInFlight;
  private int pages;
  private int skipped;
  private int retries;
  private long startMicros;
  private long nowMicros;

  /** Creates a lister that passes the selected keys of each list to {@code onComplete}. */
  KeyLister(
      StateServiceClient client,
      RandomGenerator random,
      Selection selection,
      Consumer<Listing> onComplete) {
    this.client = client;
    this.selection = selection;
    this.backoff = new RetryBackoff(random);
    this.onComplete = onComplete;
  }

  /** Advances the time. Starts a list if none is in progress, and requests a page when due. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (entries == null) {
      start();
    }
    requestPageIfDue();
  }

  private void start() {
    entries = new TreeMap<>();
    afterKey = FIRST_PAGE;
    firstRevision = UNKNOWN_REVISION;
    pages = 0;
    skipped = 0;
    retries = 0;
    startMicros = nowMicros;
  }

  private void requestPageIfDue() {
    if (pageInFlight || !backoff.isOver(nowMicros) || !client.tryAcquireRead()) {
      return;
    }
    pageInFlight = true;
    client.call(
        "GET",
        StateServiceCodec.listPath(StateStore.ROOT, afterKey, PAGE_SIZE),
        null,
        TIMEOUT_MICROS,
        this::onReply);
  }

  private void onReply(Outbox.Reply reply) {
    pageInFlight = false;
    if (reply.status() == StateServiceCodec.OK) {
      onPage(StateServiceCodec.listPage(reply));
    } else {
      onFailure(reply.status());
    }
  }

  private void onFailure(int status) {
    retries++;
    backoff.onFailure(nowMicros);
    LOG.info("state list delayed status={} pages={} keys={}", status, pages, entries.size());
  }

  private void onPage(ListPage page) {
    pages++;
    if (firstRevision == UNKNOWN_REVISION) {
      firstRevision = page.revision();
    }
    String previousKey = afterKey;
    for (ListedKey item : page.keys()) {
      afterKey = item.key();
      if (selection.includes(item)) {
        entries.put(afterKey, item.entry());
      } else {
        skip(item);
      }
    }
    if (page.more() && !afterKey.equals(previousKey)) {
      requestPageIfDue();
    } else {
      complete(page.revision());
    }
  }

  private void skip(ListedKey item) {
    skipped++;
    newestSkipped.add(item);
    if (newestSkipped.size() > MAX_NEWEST_SKIPPED) {
      newestSkipped.remove();
    }
  }

  private void complete(long lastRevision) {
    Map<String, Entry> newest = new HashMap<>();
    newestSkipped.forEach(item -> newest.put(item.key(), item.entry()));
    newestSkipped.clear();
    Listing listing = new Listing(entries, firstRevision, lastRevision, newest);
    entries = null;
    LOG.info(
        "state listed keys={} skipped={} pages={} retries={} ms={}",
        listing.entries().size(),
        skipped,
        pages,
        retries,
        (nowMicros - startMicros) / MICROS_PER_MILLI);
    onComplete.accept(listing);
  }
}
