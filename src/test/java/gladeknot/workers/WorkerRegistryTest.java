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

/** Registration of machines, their transfer to another shard, and their release. */
class WorkerRegistryTest {
  private static final String KEY = WorkerRecordCodec.key("vm-000231");

  private static String record(int shard) {
    return WorkerRecordCodec.encode(new WorkerRecord(shard, "small", "a", true, 5, false));
  }

  private static Entry entry(Object... fields) {
    return new Entry(Json.of(fields), 1);
  }

  @Test
  void consecutiveNamesShareKeyAndAreDecodedFromIt() {
    for (String host : List.of("vm-000230", "vm-000239", "vm-00023x")) {
      assertEquals(KEY, WorkerRecordCodec.key(host));
      assertEquals(
          host, WorkerRecordCodec.host(WorkerRecordCodec.key(host), WorkerRecordCodec.field(host)));
    }
    assertFalse(KEY.equals(WorkerRecordCodec.key("vm-000240")));
  }

  @Test
  void transferToAnotherShardResetsSession() throws MalformedHeartbeatException {
    WorkerRegistry registry = new WorkerRegistry();
    Entry first = entry("1", record(0), "2", record(0));
    registry.onChange(KEY, null, first);
    Worker worker = registry.get("vm-000231");
    worker.onHeartbeat(heartbeat(1, 4, 7), 100);
    registry.onChange(KEY, first, entry("1", record(2), "2", record(0)));
    assertEquals(2, worker.shard());
    assertNull(worker.heartbeat());
    assertEquals(List.of(worker), List.copyOf(registry.inShard(2)));
    assertEquals(1, registry.inShard(0).size());
  }

  @Test
  void releasedMachineStaysKnownAsReleased() {
    WorkerRegistry registry = new WorkerRegistry();
    Entry first = entry("1", record(0));
    registry.onChange(KEY, null, first);
    registry.onChange(KEY, first, entry("1", WorkerRecordCodec.RELEASED));
    assertNull(registry.get("vm-000231"));
    assertTrue(registry.inShard(0).isEmpty());
    assertTrue(registry.wasReleased("vm-000231"));
    assertFalse(registry.wasReleased("vm-000232"));
  }

  /**
   * An answer renews a lease only if it arrives, which the fencing token of a later heartbeat
   * shows. A lost answer must not keep a task from being started elsewhere.
   */
  @Test
  void lostAnswerRenewsNoLease() throws MalformedHeartbeatException {
    WorkerRegistry registry = new WorkerRegistry();
    registry.onChange(KEY, null, entry("1", record(0)));
    Worker worker = registry.get("vm-000231");
    long never = worker.answeredMicros();
    worker.onHeartbeat(heartbeat(1, 1, 0), 1_000);
    worker.onAnswered(1_100, 9);
    assertEquals(1_100, worker.answeredMicros());
    worker.onHeartbeat(heartbeat(1, 2, 0), 5_000);
    assertEquals(never, worker.answeredMicros());
    worker.onAnswered(5_100, 9);
    worker.onHeartbeat(heartbeat(1, 3, 9), 7_000);
    assertEquals(5_100, worker.answeredMicros());
    // The answer with term 12 was lost. The answer before it, with term 9, had arrived.
    worker.onAnswered(7_100, 12);
    worker.onHeartbeat(heartbeat(1, 4, 9), 9_000);
    assertEquals(5_100, worker.answeredMicros());
  }

  @Test
  void workerIsReachableIfIncarnationOutlastsLease() throws MalformedHeartbeatException {
    WorkerRegistry registry = new WorkerRegistry();
    registry.onChange(KEY, null, entry("1", record(0)));
    Worker worker = registry.get("vm-000231");
    worker.onHeartbeat(heartbeat(3, 1, 9), 0);
    worker.markUnreachable(0);
    worker.onHeartbeat(heartbeat(3, 2, 9), 10);
    worker.updateReachability(10, 50);
    assertTrue(worker.unreachable() && !worker.confirmedUnreachable());
    worker.onHeartbeat(heartbeat(3, 3, 9), 60);
    worker.updateReachability(60, 50);
    assertFalse(worker.unreachable());
    worker.markUnreachable(60);
    worker.onHeartbeat(heartbeat(4, 4, 9), 80);
    worker.updateReachability(80, 50);
    assertTrue(worker.confirmedUnreachable());
  }

  private static Heartbeat heartbeat(long incarnation, long sequence, long fencingToken)
      throws MalformedHeartbeatException {
    return HeartbeatCodec.read(
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
            incarnation,
            "tick",
            sequence,
            "fence",
            fencingToken,
            "strands",
            List.of()));
  }
}
