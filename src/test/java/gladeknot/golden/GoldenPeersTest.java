package gladeknot.golden;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import gladeknot.peer.PeerMessage;
import gladeknot.peer.PeerReachability;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards the bytes of peer messages: each is written as recorded and survives a round trip. */
class GoldenPeersTest {
  private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden", "peers");
  private static final HexFormat HEX = HexFormat.of();
  private static final int BYTES_PER_LINE = 32;
  private static final long LARGE_NUMBER = 0x0123456789abcdefL;

  private record Case(String file, PeerMessage message) {
    @Override
    public String toString() {
      return file;
    }
  }

  private static final List<Case> CASES =
      List.of(
          new Case("quota-hint-empty.hex", PeerMessage.ofDeficits("node-0", 0, 3, List.of())),
          new Case(
              "quota-hint.hex",
              PeerMessage.ofDeficits(
                  "node-1",
                  2,
                  LARGE_NUMBER,
                  List.of(
                      new PeerMessage.QuotaDeficit("dev", 3000, 1000),
                      new PeerMessage.QuotaDeficit("équipe", LARGE_NUMBER, 0)))),
          new Case(
              "cancelled-jobs.hex",
              PeerMessage.ofCancelledJobs("node-1", List.of("req-000412", "req-b"))),
          new Case(
              "reach-empty.hex",
              PeerMessage.ofReachability(
                  "node-2",
                  new PeerReachability(
                      5, 1, false, List.of(), List.of(), List.of(), List.of(), List.of()))),
          new Case("reach.hex", PeerMessage.ofReachability("node-1", reachability())));

  private static PeerReachability reachability() {
    return new PeerReachability(
        5,
        LARGE_NUMBER,
        true,
        List.of(
            new PeerReachability.Observation("node-1", "node-0", 4, 7),
            new PeerReachability.Observation("node-2", "node-0", LARGE_NUMBER, 8)),
        List.of(
            new PeerReachability.ZoneReachability("a", 75),
            new PeerReachability.ZoneReachability("b", 100)),
        List.of(new PeerReachability.ShardContact(0, 3), new PeerReachability.ShardContact(1, 0)),
        List.of(
            new PeerReachability.ShardOffer(1, 4, 9, "node-2", true),
            new PeerReachability.ShardOffer(2, LARGE_NUMBER, 10, "node-0", false)),
        List.of(new PeerReachability.ShardAccept(2, 11, "node-0")));
  }

  private static Stream<Case> cases() {
    return CASES.stream();
  }

  @ParameterizedTest
  @MethodSource("cases")
  void messagesAreWrittenAsStored(Case testCase) throws IOException {
    String actual = hexLines(testCase.message().encode());
    if (GoldenFile.recording()) {
      Files.createDirectories(DIRECTORY);
      Files.writeString(DIRECTORY.resolve(testCase.file()), actual);
    }
    assertEquals(Files.readString(DIRECTORY.resolve(testCase.file())), actual, testCase.file());
  }

  @ParameterizedTest
  @MethodSource("cases")
  void storedMessagesSurviveARoundTrip(Case testCase) throws IOException {
    byte[] record = stored(testCase.file());
    PeerMessage read = PeerMessage.decode(record);
    assertEquals(testCase.message(), read);
    assertArrayEquals(record, read.encode());
  }

  /** Checks that a message with one changed byte is refused or decodes to another message. */
  @ParameterizedTest
  @MethodSource("cases")
  void changedByteIsRefusedOrChangesTheMessage(Case testCase) throws IOException {
    byte[] record = stored(testCase.file());
    for (int i = 1; i < record.length; i++) {
      byte[] changed = record.clone();
      changed[i] ^= 1;
      Optional<PeerMessage> read = decoded(changed);
      assertEquals(false, read.equals(Optional.of(testCase.message())), "byte " + i);
    }
  }

  private static Optional<PeerMessage> decoded(byte[] record) {
    try {
      return Optional.of(PeerMessage.decode(record));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Checks that the first format, which ends before the list of cancelled jobs, is still read. */
  @ParameterizedTest
  @MethodSource("cases")
  void firstFormatIsReadWithoutCancelledJobs(Case testCase) throws IOException {
    if (!testCase.file().startsWith("quota-hint")) {
      return;
    }
    byte[] record = stored(testCase.file());
    int emptyListBytes = Integer.BYTES;
    byte[] firstFormat = java.util.Arrays.copyOf(record, record.length - emptyListBytes);
    firstFormat[0] = 1;
    assertEquals(testCase.message(), PeerMessage.decode(firstFormat));
    firstFormat[0] = 0;
    assertThrows(IOException.class, () -> PeerMessage.decode(firstFormat));
  }

  private static byte[] stored(String file) throws IOException {
    String text = Files.readString(DIRECTORY.resolve(file), StandardCharsets.US_ASCII);
    return HEX.parseHex(text.replaceAll("\\s", ""));
  }

  private static String hexLines(byte[] record) {
    StringBuilder text = new StringBuilder();
    for (int offset = 0; offset < record.length; offset += BYTES_PER_LINE) {
      int end = Math.min(record.length, offset + BYTES_PER_LINE);
      text.append(HEX.formatHex(record, offset, end)).append('\n');
    }
    return text.toString();
  }
}
