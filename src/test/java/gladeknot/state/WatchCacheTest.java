package gladeknot.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import gladeknot.state.StateServiceCodec.WatchEvent;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Tests that the cache keeps changes of its controller's transactions that are ahead of the watch.
 */
class WatchCacheTest {
  private static final String KEY = "g/a";
  private static final Map<String, Object> DATA = Map.of("n", 1);

  private final WatchCache cache = new WatchCache(CacheFilter.KEEP_ALL);

  /**
   * A list that was read before this controller deleted a key must not restore the key: the watch
   * would not delete it again.
   */
  @Test
  void olderListDoesNotRestoreKeyDeletedByOwnTransaction() {
    // given
    cache.applyList(listOf(KEY, 5), 5);
    cache.applyCommitted(List.of(Mutation.delete(KEY)), 9);
    // when
    cache.applyList(listOf(KEY, 5), 7);
    assertNull(cache.get(KEY));
    cache.applyEvents(List.of(new WatchEvent(KEY, null, 9)));
    cache.advanceTo(9);
    // then
    assertNull(cache.get(KEY));
  }

  @Test
  void listAppliesWriteAfterOwnDeletion() {
    // given
    cache.applyCommitted(List.of(Mutation.delete(KEY)), 9);
    // when
    cache.applyList(listOf(KEY, 11), 10);
    // then
    assertEquals(11, cache.modRevision(KEY));
  }

  @Test
  void eventOlderThanOwnTransactionIsIgnored() {
    // given
    cache.applyList(new TreeMap<>(), 3);
    cache.applyCommitted(List.of(Mutation.put(KEY, DATA)), 9);
    // when
    cache.applyEvents(List.of(new WatchEvent(KEY, DATA, 5)));
    // then
    assertEquals(9, cache.modRevision(KEY));
    assertEquals(3, cache.revision());
  }

  /** Guards against a finished job that is active again because an older event arrives later. */
  @Test
  void eventOlderThanOwnTransactionDoesNotRestoreValueThatIsNotKept() {
    // given
    WatchCache filtered = new WatchCache((key, data) -> !data.containsKey("final"));
    filtered.applyList(listOf(KEY, 3), 3);
    Map<String, Object> finalData = Map.of("final", true);
    List<Change> changes = filtered.applyCommitted(List.of(Mutation.put(KEY, finalData)), 9);
    // then
    assertEquals(List.of(new Change(KEY, new Entry(DATA, 3), new Entry(finalData, 9))), changes);
    assertNull(filtered.get(KEY));
    // when
    List<WatchEvent> events =
        List.of(new WatchEvent(KEY, DATA, 5), new WatchEvent(KEY, finalData, 9));
    // then
    assertEquals(List.of(), filtered.applyEvents(events));
    assertNull(filtered.get(KEY));
  }

  @Test
  void listReportsFinalValueOfKeptKeyOnly() {
    // given
    WatchCache filtered = new WatchCache((key, data) -> !data.containsKey("final"));
    Entry finalEntry = new Entry(Map.of("final", true), 7);
    // then
    assertEquals(false, filtered.affects(new ListedKey(KEY, finalEntry)));
    // when
    filtered.applyList(listOf(KEY, 3), 3);
    // then
    assertEquals(true, filtered.affects(new ListedKey(KEY, finalEntry)));
    TreeMap<String, Entry> listed = new TreeMap<>(Map.of(KEY, finalEntry));
    assertEquals(
        List.of(new Change(KEY, new Entry(DATA, 3), finalEntry)), filtered.applyList(listed, 8));
    assertNull(filtered.get(KEY));
  }

  private static TreeMap<String, Entry> listOf(String key, long revision) {
    return new TreeMap<>(Map.of(key, new Entry(DATA, revision)));
  }
}
