package gladeknot.commit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import gladeknot.state.Mutation;
import gladeknot.state.StateStore;
import gladeknot.tasks.SliceRegistry;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the contents of a transaction after changes are added and removed. */
class TransactionBatchTest {
  private static final String SEGMENT_KEY = "g/sl/0/a1";
  private static final String MACHINES_KEY = "g/w/vm-00000";

  private final TransactionBatch batch = emptyBatch();

  /** Creates a batch over an empty state store. */
  static TransactionBatch emptyBatch() {
    StateStore stateStore =
        new StateStore(
            ClusterSettings.of(0, 3, ClusterScale.SMALL),
            new Outbox(),
            new SplittableRandom(1),
            changes -> {});
    SliceRegistry slices = new SliceRegistry(3, () -> 1, stateStore, new WorkerRegistry());
    return new TransactionBatch(stateStore, slices.segments());
  }

  private static SliceSnapshot snapshotWithKeys(String... keys) {
    return new SliceSnapshot(
        null, keys[0], 0, 0, new BitSet(), List.of(), List.of(), Map.of(), Set.of(keys));
  }

  @Test
  void fieldsOfOneKeyFormOneOperation() {
    batch.put(SEGMENT_KEY, "req-1", "a");
    batch.put(SEGMENT_KEY, "req-2", "b");
    assertEquals(1, batch.operationCount());
    assertEquals(
        List.of(Mutation.put(SEGMENT_KEY, Json.of("req-1", "a", "req-2", "b"))),
        batch.operations());
    assertEquals(Map.of(SEGMENT_KEY, 0L), batch.preconditions());
    assertEquals("a", batch.fieldAfter(SEGMENT_KEY, "req-1"));
    assertNull(batch.fieldAfter(SEGMENT_KEY, "req-3"));
  }

  @Test
  void keyWithoutFieldsIsDeleted() {
    batch.put(SEGMENT_KEY, "req-1", "a");
    batch.put(SEGMENT_KEY, "req-1", null);
    assertEquals(List.of(Mutation.delete(SEGMENT_KEY)), batch.operations());
  }

  @Test
  void keyMutationsPrecedePackedKeys() {
    Mutation mutation = Mutation.put("g/q/red", Json.of("c", 1L));
    batch.put(SEGMENT_KEY, "req-1", "a");
    batch.add(new KeyMutation(0, mutation, Map.of("g/q/red", 4L), committed -> {}));
    List<String> keys = new ArrayList<>();
    batch.operations().forEach(operation -> keys.add(operation.key()));
    assertEquals(List.of("g/q/red", SEGMENT_KEY), keys);
    assertEquals(4L, batch.preconditions().get("g/q/red"));
    assertTrue(batch.requiresAny(Set.of("g/q/red", "g/q/blue")));
    assertFalse(batch.requiresAny(Set.of("g/q/blue")));
  }

  @Test
  void earliestRequiredRevisionIsKept() {
    batch.requireEarliest("g/care/0", 5);
    batch.requireEarliest("g/care/0", 3);
    batch.requireEarliest("g/care/0", 4);
    assertEquals(Map.of("g/care/0", 3L), batch.preconditions());
  }

  /** The braces of a segment's JSON object count; keys of machines are never reported. */
  @Test
  void onlySegmentsAboveSizeAreReported() {
    batch.put(SEGMENT_KEY, "req-1", "x".repeat(100));
    batch.put(MACHINES_KEY, "1", "x".repeat(1000));
    int bytes = batch.bytesAfter(SEGMENT_KEY) + 2;
    assertEquals(List.of(), batch.segmentsLargerThan(bytes));
    assertEquals(List.of(SEGMENT_KEY), batch.segmentsLargerThan(bytes - 1));
  }

  @Test
  void removedSegmentTakesItsSlicesAndPrecondition() {
    SliceSnapshot first = snapshotWithKeys(SEGMENT_KEY, "g/sh/0");
    SliceSnapshot second = snapshotWithKeys("g/sl/0/a2", "g/sh/0");
    batch.put(SEGMENT_KEY, "req-1", "a");
    batch.put("g/sl/0/a2", "req-2", "b");
    batch.add(first);
    batch.add(second);
    batch.removeSegment(SEGMENT_KEY, List.of(first));
    assertEquals(List.of(second), batch.slices());
    assertEquals(Set.of("g/sl/0/a2"), new HashSet<>(batch.packedKeys()));
    assertEquals(Set.of("g/sl/0/a2"), batch.preconditions().keySet());
  }

  @Test
  void snapshotDependsOnlyOnItsKeys() {
    assertTrue(
        snapshotWithKeys(SEGMENT_KEY, "g/sh/0").dependsOnAny(List.of("g/j/req-1", "g/sh/0")));
    assertFalse(snapshotWithKeys(SEGMENT_KEY, "g/sh/0").dependsOnAny(List.of("g/sh/1")));
  }
}
