package gladeknot.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the evaluation of policy rules and the faults reported for a policy file. */
class PolicyTest {
  @TempDir Path dir;

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "idle_keep = 20 s | IDLE_KEEP | 20",
        "idle_keep = 1 min + 500 ms | IDLE_KEEP | 60.5",
        "idle_keep = if(waiting_tasks > 10, 5 s, 90 s) | IDLE_KEEP | 5",
        "idle_keep = if(not (waiting_tasks > 10 and machines < 3), 5 s, 90 s) | IDLE_KEEP | 90",
        "fill = lease_s / report_s / 7 | FILL | 1",
        "fill = min(2, max(0.5, 1 - -0.25)) | FILL | 1.25",
        "fill = 2 * 3 - 1 * 4 | FILL | 2",
        "fill = 1 / (machines - 2) | FILL | 1.1",
        "fill = 99 | FILL | 5",
        "# nothing | STATE_LEASE | 20.125",
      })
  void ruleEvaluatesToValue(String text, String name, double value) {
    Policy policy = Policy.of(text);
    policy.setSettings(TestSettings.SETTINGS);
    policy.setLoad(2, 11);
    assertEquals(value, policy.number(Policy.Name.valueOf(name)), 1e-9);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "idle_kep = 20 s | 1:1: unknown name idle_kep",
        "idle_keep = 20 | 1:13: idle_keep must be a duration, this is a number",
        "fill = 2 s | 1:8: fill must be a number, this is a duration",
        "fill = 1 + 2 s | 1:10: + joins a number and a duration",
        "fill = wating | 1:8: unknown variable wating",
        "fill = (1 | 1:10: expected )",
        "fill = | 1:7: something is missing here",
        "fill = 1 $ | 1:10: unexpected character $",
        "fill = 1 2 | 1:10: unexpected 2",
        "idle_keep = 1 s * 1 s | 1:17: a duration times a duration has no meaning",
        "fill = if(1, 2, 3) | 1:8: if needs a truth value first",
      })
  void faultsAreReportedWithTheirPosition(String text, String fault) throws IOException {
    Path file = dir.resolve("p");
    Files.writeString(file, text);
    assertEquals(java.util.List.of(fault), Policy.check(file));
  }
}
