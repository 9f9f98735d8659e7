package gladeknot.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class HintTest {
  private static final Hint HINT =
      new Hint("node-1", 2, 7, List.of(new Hint.Short("dev", 3000, 1000)));

  @Test
  void comesBackAsItWasSent() throws IOException {
    assertEquals(HINT, Hint.decode(HINT.encode()));
  }

  @Test
  void garbledRecordsAreRefused() {
    byte[] good = HINT.encode();
    for (int length = 0; length < good.length; length++) {
      byte[] cut = Arrays.copyOf(good, length);
      assertThrows(IOException.class, () -> Hint.decode(cut));
    }
    assertThrows(IOException.class, () -> Hint.decode(Arrays.copyOf(good, good.length + 1)));
    byte[] other = good.clone();
    other[0] = 9;
    assertThrows(IOException.class, () -> Hint.decode(other));
  }
}
