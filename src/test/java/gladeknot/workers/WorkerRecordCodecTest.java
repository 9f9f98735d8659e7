package gladeknot.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Stored form of machine records, which adjacent versions read too. */
class WorkerRecordCodecTest {
  @Test
  void recordsRoundTripThroughStoredForm() {
    WorkerRecord spot = new WorkerRecord(2, "small", "a", true, 5_000_000_000L, false);
    assertEquals("2|small|a|s|5000000000|", WorkerRecordCodec.encode(spot));
    assertEquals(spot, WorkerRecordCodec.decode("2|small|a|s|5000000000|"));
    WorkerRecord terminating = new WorkerRecord(0, "g8", "b", false, 7, true);
    assertEquals("0|g8|b|o|7|x", WorkerRecordCodec.encode(terminating));
    assertEquals(terminating, WorkerRecordCodec.decode("0|g8|b|o|7|x"));
  }

  /** A zone called "a|b" once made the records of its machines unreadable. */
  @Test
  void namesMayContainTheSeparator() {
    WorkerRecord separators = new WorkerRecord(1, "g%7C8|", "a|b", true, 7, false);
    assertEquals(separators, WorkerRecordCodec.decode(WorkerRecordCodec.encode(separators)));
    WorkerRecord percent = new WorkerRecord(1, "g%7C8", "50%", true, 7, true);
    assertEquals("1|g%7C8|50%|s|7|x", WorkerRecordCodec.encode(percent));
    assertEquals(percent, WorkerRecordCodec.decode(WorkerRecordCodec.encode(percent)));
  }
}
