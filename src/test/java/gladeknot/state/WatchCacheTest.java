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

  private final WatchCache cache = new WatchCache();

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

  private static TreeMap<String, Entry> listOf(String key, long revision) {
    return new TreeMap<>(Map.of(key, new Entry(DATA, revision)));
  }
}
