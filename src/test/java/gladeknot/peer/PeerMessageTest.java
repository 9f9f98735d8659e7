package gladeknot.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PeerMessageTest {
  private static final PeerMessage HINT =
      new PeerMessage(
          "node-1",
          2,
          7,
          List.of(new PeerMessage.Short("dev", 3000, 1000)),
          List.of("req-a", "req-b"),
          Optional.empty());

  private static final PeerMessage REACH =
      PeerMessage.ofReach(
          "node-1",
          new PeerReach(
              5,
              8,
              true,
              List.of(new PeerReach.Heard("node-1", "node-0", 4, 7)),
              List.of(new PeerReach.ZoneReach("a", 75)),
              List.of(new PeerReach.ShardContact(0, 3)),
              List.of(new PeerReach.ShardOffer(1, 9, "node-2", true)),
              List.of(new PeerReach.ShardAccept(2, 11, "node-0"))));

  @Test
  void comesBackAsItWasSent() throws IOException {
    assertEquals(HINT, PeerMessage.decode(HINT.encode()));
    assertEquals(REACH, PeerMessage.decode(REACH.encode()));
  }

  @Test
  void garbledRecordsAreRefused() {
    refused(HINT.encode());
    refused(REACH.encode());
  }

  /** The values of a record are within their ranges, or it is refused whole. */
  @Test
  void valuesOutOfRangeAreRefused() {
    PeerReach good = REACH.reach().orElseThrow();
    List<PeerReach> wrong =
        List.of(
            new PeerReach(5, 0, true, List.of(), List.of(), List.of(), List.of(), List.of()),
            new PeerReach(
                5,
                8,
                true,
                good.heard(),
                List.of(new PeerReach.ZoneReach("a", 101)),
                List.of(),
                List.of(),
                List.of()),
            new PeerReach(
                5,
                8,
                true,
                good.heard(),
                List.of(),
                List.of(new PeerReach.ShardContact(-1, 2)),
                List.of(),
                List.of()),
            new PeerReach(
                5,
                8,
                true,
                good.heard(),
                List.of(),
                List.of(),
                List.of(new PeerReach.ShardOffer(1, 0, "node-2", false)),
                List.of()),
            new PeerReach(
                5,
                8,
                true,
                Collections.nCopies(PeerReach.MOST_ENTRIES + 1, good.heard().get(0)),
                List.of(),
                List.of(),
                List.of(),
                List.of()));
    for (PeerReach reach : wrong) {
      byte[] record = PeerMessage.ofReach("node-1", reach).encode();
      assertThrows(IOException.class, () -> PeerMessage.decode(record));
    }
  }

  private static void refused(byte[] good) {
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
