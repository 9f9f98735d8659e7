package gladeknot.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.state.Entry;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Machines by their keys: entered, moved to another shard, given back for good. */
class WorkerRegistryTest {
  private static final String KEY = WorkerRecordCodec.key("vm-000231");

  private static String record(int shard) {
    return WorkerRecordCodec.encode(new WorkerRecord(shard, "small", "a", true, 5, false));
  }

  private static Entry entry(Object... fields) {
    return new Entry(Json.of(fields), 1);
  }

  @Test
  void namesInARowShareAKeyAndComeBackFromIt() {
    for (String host : List.of("vm-000230", "vm-000239", "vm-00023x")) {
      assertEquals(KEY, WorkerRecordCodec.key(host));
      assertEquals(
          host, WorkerRecordCodec.host(WorkerRecordCodec.key(host), WorkerRecordCodec.field(host)));
    }
    assertFalse(KEY.equals(WorkerRecordCodec.key("vm-000240")));
  }

  @Test
  void aMachineMovesAndItsSessionIsForgotten() throws Heartbeat.MalformedHeartbeatException {
    WorkerRegistry book = new WorkerRegistry();
    Entry first = entry("1", record(0), "2", record(0));
    book.onChange(KEY, null, first);
    Worker w = book.get("vm-000231");
    w.onHeartbeat(report(1, 4, 7), 100);
    book.onChange(KEY, first, entry("1", record(2), "2", record(0)));
    assertEquals(2, w.shard());
    assertNull(w.heartbeat());
    assertEquals(List.of(w), List.copyOf(book.inShard(2)));
    assertEquals(1, book.inShard(0).size());
  }

  @Test
  void whatWasGivenBackStaysKnownAsThat() {
    WorkerRegistry book = new WorkerRegistry();
    Entry first = entry("1", record(0));
    book.onChange(KEY, null, first);
    book.onChange(KEY, first, entry("1", WorkerRecordCodec.RELEASED));
    assertNull(book.get("vm-000231"));
    assertTrue(book.inShard(0).isEmpty());
    assertTrue(book.wasReleased("vm-000231"));
    assertFalse(book.wasReleased("vm-000232"));
  }

  /**
   * An answer renews a lease only if it got there, which the token of a later report tells: an
   * answer that did not must not keep a task from being started elsewhere.
   */
  @Test
  void anAnswerThatWasLostDoesNotCount() throws Heartbeat.MalformedHeartbeatException {
    WorkerRegistry book = new WorkerRegistry();
    book.onChange(KEY, null, entry("1", record(0)));
    Worker w = book.get("vm-000231");
    long never = w.answeredMicros();
    w.onHeartbeat(report(1, 1, 0), 1_000);
    w.onAnswered(1_100, 9);
    assertEquals(1_100, w.answeredMicros());
    w.onHeartbeat(report(1, 2, 0), 5_000);
    assertEquals(never, w.answeredMicros());
    w.onAnswered(5_100, 9);
    w.onHeartbeat(report(1, 3, 9), 7_000);
    assertEquals(5_100, w.answeredMicros());
    // Under a higher term nothing is known of the older answer but that it was good in its time.
    w.onAnswered(7_100, 12);
    w.onHeartbeat(report(1, 4, 9), 9_000);
    assertEquals(5_100, w.answeredMicros());
  }

  @Test
  void aSessionThatOutlastsALeaseHasBeenAnswered() throws Heartbeat.MalformedHeartbeatException {
    WorkerRegistry book = new WorkerRegistry();
    book.onChange(KEY, null, entry("1", record(0)));
    Worker w = book.get("vm-000231");
    w.onHeartbeat(report(3, 1, 9), 0);
    w.markUnreachable(0);
    w.onHeartbeat(report(3, 2, 9), 10);
    w.updateReachability(10, 50);
    assertTrue(w.unreachable() && !w.confirmedUnreachable());
    w.onHeartbeat(report(3, 3, 9), 60);
    w.updateReachability(60, 50);
    assertFalse(w.unreachable());
    w.markUnreachable(60);
    w.onHeartbeat(report(4, 4, 9), 80);
    w.updateReachability(80, 50);
    assertTrue(w.confirmedUnreachable());
  }

  private static Heartbeat report(long tenure, long tick, long token)
      throws Heartbeat.MalformedHeartbeatException {
    return Heartbeat.parse(
        Map.of(
            "host",
            "vm-000231",
            "endpoint",
            "h:1",
            "hosttype",
            "small",
            "glade",
            "a",
            "tenure",
            tenure,
            "tick",
            tick,
            "fence",
            token,
            "strands",
            List.of()));
  }
}
