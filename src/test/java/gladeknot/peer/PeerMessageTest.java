package gladeknot.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gladeknot.peer.PeerReachability.Observation;
import gladeknot.peer.PeerReachability.ShardOffer;
import gladeknot.peer.PeerReachability.ZoneReachability;
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
          List.of(new PeerMessage.QuotaDeficit("dev", 3000, 1000)),
          List.of("req-a", "req-b"),
          Optional.empty());

  private static final PeerMessage REACH =
      PeerMessage.ofReachability(
          "node-1",
          new PeerReachability(
              5,
              8,
              true,
              List.of(new PeerReachability.Observation("node-1", "node-0", 4, 7)),
              List.of(new PeerReachability.ZoneReachability("a", 75)),
              List.of(new PeerReachability.ShardContact(0, 3)),
              List.of(new PeerReachability.ShardOffer(1, 4, 9, "node-2", true)),
              List.of(new PeerReachability.ShardAccept(2, 11, "node-0"))));

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

  private static PeerReachability reachability(
      long sequence,
      List<Observation> observations,
      List<ZoneReachability> zones,
      List<ShardOffer> offers) {
    return new PeerReachability(
        5, sequence, true, observations, zones, List.of(), offers, List.of());
  }

  /** The values of a record are within their ranges, or it is refused whole. */
  @Test
  void valuesOutOfRangeAreRefused() {
    Observation row = new Observation("node-1", "node-0", 4, 7);
    List<Observation> tooMany = Collections.nCopies(PeerReachability.MAX_ENTRIES + 1, row);
    List<PeerReachability> wrong =
        List.of(
            reachability(0, List.of(), List.of(), List.of()),
            reachability(8, List.of(), List.of(new ZoneReachability("a", 101)), List.of()),
            reachability(8, List.of(), List.of(new ZoneReachability("a", -1)), List.of()),
            reachability(
                8, List.of(), List.of(), List.of(new ShardOffer(1, 4, 0, "node-2", false))),
            reachability(
                8, List.of(), List.of(), List.of(new ShardOffer(-1, 4, 9, "node-2", true))),
            reachability(8, tooMany, List.of(), List.of()));
    for (PeerReachability reachability : wrong) {
      byte[] record = PeerMessage.ofReachability("node-1", reachability).encode();
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
