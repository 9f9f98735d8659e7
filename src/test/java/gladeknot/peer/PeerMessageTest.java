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
  private static final PeerMessage DEFICITS =
      new PeerMessage(
          "node-1",
          2,
          7,
          List.of(new PeerMessage.QuotaDeficit("dev", 3000, 1000)),
          List.of("req-a", "req-b"),
          Optional.empty());

  private static final PeerMessage REACHABILITY =
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
  void messageSurvivesRoundTrip() throws IOException {
    assertEquals(DEFICITS, PeerMessage.decode(DEFICITS.encode()));
    assertEquals(REACHABILITY, PeerMessage.decode(REACHABILITY.encode()));
  }

  @Test
  void malformedRecordsAreRejected() {
    assertMalformedRejected(DEFICITS.encode());
    assertMalformedRejected(REACHABILITY.encode());
  }

  private static PeerReachability reachability(
      long sequence,
      List<Observation> observations,
      List<ZoneReachability> zones,
      List<ShardOffer> offers) {
    return new PeerReachability(
        5, sequence, true, observations, zones, List.of(), offers, List.of());
  }

  /** A record with any value out of range is rejected as a whole. */
  @Test
  void valuesOutOfRangeAreRejected() {
    Observation row = new Observation("node-1", "node-0", 4, 7);
    List<Observation> tooMany = Collections.nCopies(PeerReachability.MAX_ENTRIES + 1, row);
    List<PeerReachability> invalid =
        List.of(
            reachability(0, List.of(), List.of(), List.of()),
            reachability(8, List.of(), List.of(new ZoneReachability("a", 101)), List.of()),
            reachability(8, List.of(), List.of(new ZoneReachability("a", -1)), List.of()),
            reachability(
                8, List.of(), List.of(), List.of(new ShardOffer(1, 4, 0, "node-2", false))),
            reachability(
                8, List.of(), List.of(), List.of(new ShardOffer(-1, 4, 9, "node-2", true))),
            reachability(8, tooMany, List.of(), List.of()));
    for (PeerReachability reachability : invalid) {
      byte[] record = PeerMessage.ofReachability("node-1", reachability).encode();
      assertThrows(IOException.class, () -> PeerMessage.decode(record));
    }
  }

  private static void assertMalformedRejected(byte[] encoded) {
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      assertThrows(IOException.class, () -> PeerMessage.decode(truncated));
    }
    assertThrows(
        IOException.class, () -> PeerMessage.decode(Arrays.copyOf(encoded, encoded.length + 1)));
    byte[] other = encoded.clone();
    other[0] = 0;
    assertThrows(IOException.class, () -> PeerMessage.decode(other));
    // A truncated record of a later version is malformed as well.
    for (int length = 0; length < encoded.length; length++) {
      byte[] truncated = Arrays.copyOf(encoded, length);
      if (length > 0) {
        truncated[0] = 9;
      }
      assertThrows(IOException.class, () -> PeerMessage.decode(truncated));
    }
  }

  /** Versions run side by side during an upgrade, so a new field must not stop their messages. */
  @Test
  void fieldsAddedByLaterVersionAreIgnored() throws IOException {
    byte[] encoded = DEFICITS.encode();
    byte[] later = Arrays.copyOf(encoded, encoded.length + 5);
    later[0] = 9;
    assertEquals(DEFICITS, PeerMessage.decode(later));
  }
}
