package gladeknot.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTest {
  private static final String VALID =
      """
      node_name = "n0"
      domain = "a"
      client_listen = "127.0.0.1:80"
      back = "127.0.0.1:81"
      some_new_field = 3
      [[members]]
      node_name = "n1"
      domain = "b"
      addr = "127.0.0.1:82"
      [external]
      cloud = "127.0.0.1:83"
      state = "127.0.0.1:84"
      [cluster]
      zones = ["a", "b"]
      clock_error_ms = 100.0
      [[cluster.teams]]
      name = "dev"
      cpus = 8.0
      cpus_max = 24.0
      gpus = 0.0
      gpus_max = 0.0
      [[cluster.objectives]]
      kind = "wait"
      class = "web"
      within_s = 5.0
      share = 0.9
      [cluster.workers]
      report_s = 2.0
      lease_s = 14.0
      gang_wait_s = 30.0
      gang_peer_s = 6.0
      cancel_s = 39.0
      [cluster.state]
      rps = 120.0
      write_rps = 25.0
      value_kb = 8.0
      txn_ops = 20
      [cluster.cloud]
      rps = 5.0
      list_lag_s = 8.0
      """;

  @TempDir Path dir;

  private SettingsReader.Result read(String text) throws IOException {
    Path file = dir.resolve("s.toml");
    Files.writeString(file, text);
    return SettingsReader.read(file);
  }

  @Test
  void validFileIsConvertedToMicrosecondsAndThousandths() throws IOException {
    SettingsReader.Result result = read(VALID);
    assertEquals(List.of(), result.faults());
    Settings settings = result.settings();
    assertEquals(14_000_000, settings.workers().leaseMicros());
    assertEquals(24_000_000_000L, settings.teams().get("dev").cpusMax());
    assertEquals(List.of("n0", "n1"), settings.nodes());
  }

  /**
   * The platform may add kinds of objectives: a controller that does not know a kind still starts.
   */
  @ParameterizedTest
  @CsvSource({
    "'kind = \"wait\"', WAIT",
    "'kind = \"deadline\"', DEADLINE",
    "'kind = \"finished\"', FINISHED",
    "'kind = \"guarantee\"', GUARANTEE",
    "'kind = \"Wait\"', OTHER",
    "'kind = \"\"', OTHER",
    "'kind = 3', OTHER",
    "'', OTHER",
  })
  void everyObjectiveKindIsAccepted(String line, ObjectiveKind kind) throws IOException {
    Settings settings = read(VALID.replace("kind = \"wait\"", line)).settings();
    assertEquals(kind, settings.objectives().get(0).kind());
  }

  @Test
  void nextStateLimitsDefaultToTheCurrentLimits() throws IOException {
    Settings without = read(VALID).settings();
    assertEquals(without.stateLimits(), without.nextStateLimits());
    String next = "[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 6\n[cluster.cloud]";
    Settings with = read(VALID.replace("[cluster.cloud]", next)).settings();
    assertEquals(new Settings.StateLimits(120, 25, 2048, 6), with.nextStateLimits());
    assertEquals(without.stateLimits(), with.stateLimits());
  }

  @ParameterizedTest
  @CsvSource({
    "'node_name = \"n0\"', '', node_name",
    "'client_listen = \"127.0.0.1:80\"', 'client_listen = \"here\"', client_listen",
    "'node_name = \"n1\"', 'node_name = \"n0\"', 'members[0].node_name'",
    "'rps = 120.0', 'rps = 0', cluster.state.rps",
    "'write_rps = 25.0', 'write_rps = \"x\"', cluster.state.write_rps",
    "'value_kb = 8.0', 'value_kb = 0.01', cluster.state.value_kb",
    "'txn_ops = 20', 'txn_ops = 1', cluster.state.txn_ops",
    "'[cluster.cloud]', '[cluster.state.next]\nvalue_kb = 0', cluster.state.next.value_kb",
    "'[cluster.cloud]', '[cluster.state.next]\nwrite_rps = -1', cluster.state.next.write_rps",
    "'[cluster.cloud]', '[cluster.state.next]\ntxn_ops = \"x\"', cluster.state.next.txn_ops",
    "'cancel_s = 39.0', 'cancel_s = 15.0', cluster.workers.cancel_s",
    "'cpus_max = 24.0', 'cpus_max = -1', 'cluster.teams[0].cpus_max'",
    "'[external]', '[internal]', external",
    "'[cluster]', '[[cluster', 'not TOML'",
  })
  void faultsAreReportedWithTheirField(String from, String to, String field) throws IOException {
    SettingsReader.Result result = read(VALID.replace(from, to));
    assertTrue(
        result.faults().stream().anyMatch(fault -> fault.startsWith(field + ":")),
        () -> "" + result);
  }
}
