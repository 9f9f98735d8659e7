package gladeknot.tasks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.tasks.AttemptCodec.StoredAttempt;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests that attempts survive encoding and decoding, and that the compact form is short. */
class AttemptCodecTest {
  private static final List<List<StoredAttempt>> CASES =
      List.of(
          List.of(),
          List.of(new StoredAttempt(0, 4, "vm-000231")),
          List.of(
              new StoredAttempt(7, 1L << 40, "vm-000231"),
              new StoredAttempt(99_999, 5, "vm-000002")),
          List.of(new StoredAttempt(1, 4, "vm-1"), new StoredAttempt(2, 4, "vm-22")),
          List.of(new StoredAttempt(1, 4, "host"), new StoredAttempt(2, 4, "node")),
          List.of(new StoredAttempt(1, 4, "a%d-007"), new StoredAttempt(2, 3, "a%d-008")));

  @Test
  void bothFormsDecodeToTheSameAttempts() {
    for (List<StoredAttempt> attempts : CASES) {
      assertEquals(attempts, AttemptCodec.decode(AttemptCodec.encodePlain(attempts)));
      assertEquals(attempts, AttemptCodec.decode(AttemptCodec.encodeCompact(attempts)));
    }
  }

  /** Records that the first version wrote must stay readable, and the plain form unchanged. */
  @Test
  void plainFormIsCompatibleWithFirstVersion() {
    String stored = "3:16:vm-000231,11:19:vm-000007";
    List<StoredAttempt> attempts =
        List.of(new StoredAttempt(3, 16, "vm-000231"), new StoredAttempt(11, 19, "vm-000007"));
    assertEquals(attempts, AttemptCodec.decode(stored));
    assertEquals(stored, AttemptCodec.encodePlain(attempts));
  }

  @Test
  void compactFormTakesLessThanAThirdOfPlainForm() {
    List<StoredAttempt> attempts = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      attempts.add(
          new StoredAttempt(i, 1000 + 3 * i, String.format("vm-%06d", 100 + i * 37 % 600)));
    }
    int plain = AttemptCodec.encodePlain(attempts).length();
    assertTrue(AttemptCodec.encodeCompact(attempts).length() * 3 < plain);
  }

  @Test
  void truncatedRecordIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> AttemptCodec.decode("~vm-:6:gA"));
  }
}
