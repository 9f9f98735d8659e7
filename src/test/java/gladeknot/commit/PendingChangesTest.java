package gladeknot.commit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order in which submitted, unsent and uncommitted mutations are taken. */
class PendingChangesTest {
  private final PendingChanges pending = new PendingChanges();

  private static FieldMutation mutation(String field) {
    return new FieldMutation(0, "g/w/vm-00000", field, null, "new", committed -> {});
  }

  private List<String> takeFields() {
    List<String> fields = new ArrayList<>();
    while (pending.fieldMutationCount() > 0) {
      fields.add(pending.takeFieldMutation().field());
    }
    return fields;
  }

  private static TransactionBatch batchOf(String... fields) {
    TransactionBatch batch = TransactionBatchTest.emptyBatch();
    for (String field : fields) {
      batch.add(mutation(field));
    }
    return batch;
  }

  @Test
  void mutationsAreTakenInOrderOfSubmission() {
    assertTrue(pending.isEmpty());
    pending.submit(mutation("1"));
    pending.submit(mutation("2"));
    assertEquals(List.of("1", "2"), takeFields());
  }

  @Test
  void mutationsOfUnsentBatchAreTakenFirst() {
    pending.submit(mutation("3"));
    pending.putBack(batchOf("1", "2"));
    assertEquals(List.of("2", "1", "3"), takeFields());
  }

  @Test
  void mutationsOfUncommittedBatchAreTakenLast() {
    pending.submit(mutation("3"));
    pending.resubmit(batchOf("1", "2"));
    assertEquals(List.of("3", "1", "2"), takeFields());
  }
}
