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

/** Records between controllers, as bytes: read and written again, they are the same. */
class GoldenPeersTest {
  private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden", "peers");
  private static final HexFormat HEX = HexFormat.of();
  private static final int BYTES_A_LINE = 32;
  private static final long LARGE = 0x0123456789abcdefL;

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
                  LARGE,
                  List.of(
                      new PeerMessage.QuotaDeficit("dev", 3000, 1000),
                      new PeerMessage.QuotaDeficit("équipe", LARGE, 0)))),
          new Case(
              "cancelled-jobs.hex",
              PeerMessage.ofCancelledJobs("node-1", List.of("req-000412", "req-b"))),
          new Case(
              "reach-empty.hex",
              PeerMessage.ofReachability(
                  "node-2",
                  new PeerReachability(
                      5, 1, false, List.of(), List.of(), List.of(), List.of(), List.of()))),
          new Case("reach.hex", PeerMessage.ofReachability("node-1", reach())));

  private static PeerReachability reach() {
    return new PeerReachability(
        5,
        LARGE,
        true,
        List.of(
            new PeerReachability.Observation("node-1", "node-0", 4, 7),
            new PeerReachability.Observation("node-2", "node-0", LARGE, 8)),
        List.of(
            new PeerReachability.ZoneReachability("a", 75),
            new PeerReachability.ZoneReachability("b", 100)),
        List.of(new PeerReachability.ShardContact(0, 3), new PeerReachability.ShardContact(1, 0)),
        List.of(
            new PeerReachability.ShardOffer(1, 4, 9, "node-2", true),
            new PeerReachability.ShardOffer(2, LARGE, 10, "node-0", false)),
        List.of(new PeerReachability.ShardAccept(2, 11, "node-0")));
  }

  private static Stream<Case> cases() {
    return CASES.stream();
  }

  @ParameterizedTest
  @MethodSource("cases")
  void messagesAreWrittenAsStored(Case testCase) throws IOException {
    String actual = lines(testCase.message().encode());
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

  /** Each byte matters: a record with one of them changed is refused or says something else. */
  @ParameterizedTest
  @MethodSource("cases")
  void noByteIsIgnored(Case testCase) throws IOException {
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

  /** The first format ends before the list of cancelled jobs. */
  @ParameterizedTest
  @MethodSource("cases")
  void theFirstFormatIsReadUpToItsEnd(Case testCase) throws IOException {
    if (!testCase.file().startsWith("quota-hint")) {
      return;
    }
    byte[] record = stored(testCase.file());
    int emptyListBytes = Integer.BYTES;
    byte[] first = java.util.Arrays.copyOf(record, record.length - emptyListBytes);
    first[0] = 1;
    assertEquals(testCase.message(), PeerMessage.decode(first));
    first[0] = 0;
    assertThrows(IOException.class, () -> PeerMessage.decode(first));
  }

  private static byte[] stored(String file) throws IOException {
    String text = Files.readString(DIRECTORY.resolve(file), StandardCharsets.US_ASCII);
    return HEX.parseHex(text.replaceAll("\\s", ""));
  }

  private static String lines(byte[] record) {
    StringBuilder text = new StringBuilder();
    for (int at = 0; at < record.length; at += BYTES_A_LINE) {
      int end = Math.min(record.length, at + BYTES_A_LINE);
      text.append(HEX.formatHex(record, at, end)).append('\n');
    }
    return text.toString();
  }
}
