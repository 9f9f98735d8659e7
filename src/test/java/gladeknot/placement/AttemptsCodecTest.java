package gladeknot.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.placement.AttemptsCodec.Stored;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Attempts come back as they were, and the compact form is short. */
class AttemptsCodecTest {
  private static final List<List<Stored>> CASES =
      List.of(
          List.of(),
          List.of(new Stored(0, 4, "vm-000231")),
          List.of(new Stored(7, 1L << 40, "vm-000231"), new Stored(99_999, 5, "vm-000002")),
          List.of(new Stored(1, 4, "vm-1"), new Stored(2, 4, "vm-22")),
          List.of(new Stored(1, 4, "host"), new Stored(2, 4, "node")),
          List.of(new Stored(1, 4, "a%d-007"), new Stored(2, 3, "a%d-008")));

  @Test
  void bothFormsComeBack() {
    for (List<Stored> attempts : CASES) {
      assertEquals(attempts, AttemptsCodec.read(AttemptsCodec.plain(attempts)));
      assertEquals(attempts, AttemptsCodec.read(AttemptsCodec.compact(attempts)));
    }
  }

  /** As the first version wrote it. */
  @Test
  void thePlainFormIsAsItAlwaysWas() {
    String stored = "3:16:vm-000231,11:19:vm-000007";
    List<Stored> attempts =
        List.of(new Stored(3, 16, "vm-000231"), new Stored(11, 19, "vm-000007"));
    assertEquals(attempts, AttemptsCodec.read(stored));
    assertEquals(stored, AttemptsCodec.plain(attempts));
  }

  @Test
  void theCompactFormTakesAThird() {
    List<Stored> attempts = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      attempts.add(new Stored(i, 1000 + 3 * i, String.format("vm-%06d", 100 + i * 37 % 600)));
    }
    int plain = AttemptsCodec.plain(attempts).length();
    assertTrue(AttemptsCodec.compact(attempts).length() * 3 < plain);
  }

  @Test
  void aCutRecordIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> AttemptsCodec.read("~vm-:6:gA"));
  }
}
