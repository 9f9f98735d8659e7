package gladeknot.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerMessageTest {
  private static final PeerMessage HINT =
      new PeerMessage(
          "node-1",
          2,
          7,
          List.of(new PeerMessage.Short("dev", 3000, 1000)),
          List.of("req-a", "req-b"));

  @Test
  void comesBackAsItWasSent() throws IOException {
    assertEquals(HINT, PeerMessage.decode(HINT.encode()));
  }

  @Test
  void garbledRecordsAreRefused() {
    byte[] good = HINT.encode();
    for (int length = 0; length < good.length; length++) {
      byte[] cut = Arrays.copyOf(good, length);
      assertThrows(IOException.class, () -> PeerMessage.decode(cut));
    }
    assertThrows(IOException.class, () -> PeerMessage.decode(Arrays.copyOf(good, good.length + 1)));
    byte[] other = good.clone();
    other[0] = 0;
    assertThrows(IOException.class, () -> PeerMessage.decode(other));
    // Cut short, a later version's record is garbled as well.
    for (int length = 0; length < good.length; length++) {
      byte[] cut = Arrays.copyOf(good, length);
      if (length > 0) {
        cut[0] = 9;
      }
      assertThrows(IOException.class, () -> PeerMessage.decode(cut));
    }
  }

  /** Versions run side by side while one is brought in: a new field must not cut them apart. */
  @Test
  void whatALaterVersionAddsAtTheEndIsLeft() throws IOException {
    byte[] good = HINT.encode();
    byte[] later = Arrays.copyOf(good, good.length + 5);
    later[0] = 9;
    assertEquals(HINT, PeerMessage.decode(later));
  }
}
