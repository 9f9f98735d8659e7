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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against reads that lose their progress when the state service refuses a request, and
 * against lists that exceed this controller's part of the request rate. Either kept all controllers
 * from coming back after a crash of all of them.
 */
class RefusedRequestsTest {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long STEP_MICROS = 10_000;
  private static final int CONTROLLERS = 5;
  private static final double STATE_RPS = 100;
  private static final long LEASE_MICROS = 15 * MICROS_PER_SECOND;

  private final Outbox outbox = new Outbox();
  private final StateStore store =
      new StateStore(
          ClusterSettings.of(
              0, CONTROLLERS, new ClusterScale(12, ClusterScale.TEAM_CPUS, STATE_RPS, 15)),
          outbox,
          new SplittableRandom(1),
          new ChangeListener() {
            @Override
            public void onChanges(List<Change> changes) {}

            @Override
            public void onRevisionReached() {}
          });
  private final List<String> results = new ArrayList<>();
  private long now = MICROS_PER_SECOND;

  @BeforeEach
  void setTime() {
    store.tick(now);
  }

  @ParameterizedTest
  @ValueSource(ints = {429, 503, 0})
  void refusedPageIsRequestedAgainAndEarlierPagesAreKept(int status) {
    answer(awaitCall("/kv?"), 200, page(10, true, "g/a"));
    Outbox.Call second = awaitCall("/kv?");
    assertTrue(second.path().contains("&from=g/a&"), second.path());
    answer(second, status, Json.of());

    Outbox.Call repeated = awaitCall("/kv?");
    assertEquals(second.path(), repeated.path());
    answer(repeated, 200, page(10, false, "g/b"));
    assertTrue(store.loaded());
    assertEquals(2, store.withPrefix(StateStore.ROOT).size());
  }

  @Test
  void listAfterCompactionKeepsItsPagesToo() {
    answer(awaitCall("/kv?"), 200, page(10, false, "g/a"));
    answer(awaitCall("/follow"), 410, Json.of());
    assertFalse(store.loaded());
    answer(awaitCall("/kv?"), 200, page(30, true, "g/a"));
    Outbox.Call second = awaitCall("/kv?");
    answer(second, 429, Json.of());
    assertEquals(second.path(), awaitCall("/kv?").path());
  }

  @Test
  void listKeepsToThisControllersPartOfTheRate() {
    int seconds = 10;
    int pages = 0;
    long endMicros = now + seconds * MICROS_PER_SECOND;
    while (now < endMicros) {
      for (Outbox.Call call : step()) {
        pages++;
        answer(call, 200, page(10, true, String.format("g/%06d", pages)));
      }
    }
    double evenShare = STATE_RPS / CONTROLLERS;
    assertTrue(pages <= evenShare * (seconds + 1), pages + " pages in " + seconds + " s");
    assertTrue(pages >= evenShare * seconds / 2, pages + " pages in " + seconds + " s");
  }

  @Test
  void listDoesNotDelayLeaseRequests() {
    int sent = 0;
    for (int i = 0; i < 100; i++) {
      List<Outbox.Call> calls = step();
      calls.addAll(outbox.drainCalls());
      for (Outbox.Call call : calls) {
        answer(call, 200, page(10, true, String.format("g/%06d", ++sent)));
      }
    }
    outbox.drainCalls();
    store.grantLease(LEASE_MICROS, lease -> {});
    store.renewLease(1, renewal -> {});
    assertEquals(2, outbox.drainCalls().size());
  }

  @Test
  void refusedBarrierReadIsRepeatedBeforeTheBarrierFails() {
    load();
    store.readBarrier(() -> results.add("fresh"), () -> results.add("failed"));
    answer(awaitCall("/kv/g/-"), 429, Json.of());
    assertEquals(List.of(), results);
    answer(awaitCall("/kv/g/-"), 404, Json.of("epoch", 10));
    assertEquals(List.of("fresh"), results);
  }

  @Test
  void barrierFailsOnceItsReadsAreRefusedForTooLong() {
    load();
    store.readBarrier(() -> results.add("fresh"), () -> results.add("failed"));
    long endMicros = now + 2 * MICROS_PER_SECOND;
    while (now < endMicros) {
      for (Outbox.Call call : step()) {
        if (call.path().startsWith("/kv/")) {
          answer(call, 429, Json.of());
        }
      }
    }
    assertEquals(List.of("failed"), results);
  }

  @Test
  void refusedLookupIsRepeatedAndFollowsAMovedKey() {
    load();
    store.readAny(List.of("g/x", "h/x"), read -> results.add(read.getClass().getSimpleName()));
    answer(awaitCall("/commit"), 429, Json.of());
    answer(awaitCall("/commit"), 409, Json.of("failed", List.of("g/x"), "epoch", 10));
    answer(awaitCall("/kv/g/x"), 404, Json.of("epoch", 11));
    answer(awaitCall("/commit"), 409, Json.of("failed", List.of("h/x"), "epoch", 11));
    assertEquals(List.of(), results);
    answer(awaitCall("/kv/h/x"), 200, Json.of("path", "h/x", "data", Json.of(), "stamp", 11));
    assertEquals(List.of("Found"), results);
  }

  @Test
  void lookupFindsThatNoKeyExists() {
    load();
    store.readAny(List.of("g/x", "h/x"), read -> results.add(read.getClass().getSimpleName()));
    answer(awaitCall("/commit"), 200, Json.of("epoch", 10));
    assertEquals(List.of("Absent"), results);
  }

  /** Guards against a 404 for a job that was accepted while the controller stood still. */
  @Test
  void lookupAnsweredAfterItsDeadlineFails() {
    load();
    store.readAny(List.of("g/x"), read -> results.add(read.getClass().getSimpleName()));
    Outbox.Call call = awaitCall("/commit");
    now += 20 * MICROS_PER_SECOND;
    store.tick(now);
    answer(call, 200, Json.of("epoch", 10));
    assertEquals(List.of("Failed"), results);
  }

  private void load() {
    answer(awaitCall("/kv?"), 200, page(10, false, "g/a"));
    assertTrue(store.loaded());
  }

  private Outbox.Call awaitCall(String path) {
    long endMicros = now + 5 * MICROS_PER_SECOND;
    while (now < endMicros) {
      for (Outbox.Call call : step()) {
        if (call.path().startsWith(path)) {
          return call;
        }
      }
    }
    throw new IllegalStateException("no call with a path that starts with " + path);
  }

  private List<Outbox.Call> step() {
    List<Outbox.Call> calls = new ArrayList<>(outbox.drainCalls());
    now += STEP_MICROS;
    store.tick(now);
    calls.addAll(outbox.drainCalls());
    return calls;
  }

  private void answer(Outbox.Call call, int status, Map<String, Object> body) {
    outbox.reply(call.id(), new Outbox.Reply(status, Json.bytes(body)));
  }

  private static Map<String, Object> page(long revision, boolean more, String key) {
    List<Object> items = List.of(Json.of("path", key, "data", Json.of("n", 1), "stamp", revision));
    return Json.of("items", items, "more", more, "epoch", revision);
  }
}
