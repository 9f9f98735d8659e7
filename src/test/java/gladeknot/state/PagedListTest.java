package gladeknot.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against use of the cache after a list whose pages were read at different revisions. The
 * cache may then contain a transaction's change of one key but not of another. A controller that
 * acted on it could mistake a record for one of an unknown job, or miss the slice that a task was
 * moved to.
 */
class PagedListTest {
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final Outbox outbox = new Outbox();
  private final List<String> reached = new ArrayList<>();
  private final StateStore store =
      new StateStore(
          ClusterSettings.of(0, 3, ClusterScale.SMALL),
          outbox,
          new SplittableRandom(1),
          new ChangeListener() {
            @Override
            public void onChanges(List<Change> changes) {}

            @Override
            public void onRevisionReached() {
              reached.add("reached " + store().revision());
            }
          });
  private long now = MICROS_PER_SECOND;

  private StateStore store() {
    return store;
  }

  @Test
  void cacheIsLoadedOnceWatchReachesRevisionOfLastPage() {
    // given
    answerList(page(10, true, "g/job/1"));
    answerList(page(12, false, "g/sl/0/a1"));
    assertFalse(store.loaded());
    store.whenRevisionReached(10, () -> reached.add("waiter"));
    assertEquals(List.of(), reached);
    // when
    Outbox.Call watch = nextCall("/follow");
    assertTrue(watch.path().endsWith("&from=10&waitMs=0"), watch.path());
    outbox.reply(watch.id(), ok(Json.of("epoch", 12, "events", List.of())));
    // then
    assertTrue(store.loaded());
    assertEquals(List.of("reached 12", "waiter"), reached);
    Outbox.Call next = nextCall("/follow");
    assertTrue(next.path().endsWith("&from=12&waitMs=8000"), next.path());
  }

  @Test
  void cacheIsLoadedWithoutWatchIfPagesHaveOneRevision() {
    // when
    answerList(page(10, true, "g/job/1"));
    answerList(page(10, false, "g/sl/0/a1"));
    // then
    assertTrue(store.loaded());
    assertEquals(List.of("reached 10"), reached);
  }

  private void answerList(Map<String, Object> page) {
    outbox.reply(nextCall("/kv?").id(), ok(page));
  }

  private Outbox.Call nextCall(String path) {
    for (int i = 0; i < 10; i++) {
      now += MICROS_PER_SECOND;
      store.tick(now);
      for (Outbox.Call call : outbox.drainCalls()) {
        if (call.path().startsWith(path)) {
          return call;
        }
      }
    }
    throw new IllegalStateException("no call with a path that starts with " + path);
  }

  private static Map<String, Object> page(long revision, boolean more, String key) {
    List<Object> items = List.of(Json.of("path", key, "data", Json.of("n", 1), "stamp", revision));
    return Json.of("items", items, "more", more, "epoch", revision);
  }

  private static Outbox.Reply ok(Map<String, Object> body) {
    return new Outbox.Reply(200, Json.bytes(body));
  }
}
