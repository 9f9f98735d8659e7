package gladeknot.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests reading feature files: each fault is reported with its file and field. */
class FeatureReaderTest {
  private record Case(String fault, String text) {}

  private static final String FEATURE_LINE = "feature = \"partial-cuts\"\n";

  private static final List<Case> CASES =
      List.of(
          new Case("feature: missing, or not a text", "[links]\n"),
          new Case("feature: unknown feature moving; known: partial-cuts", "feature = \"moving\""),
          new Case("not TOML", "feature = "),
          new Case("extra: unknown field", FEATURE_LINE + "extra = 1\n"),
          new Case("links: must be a table", FEATURE_LINE + "links = 3\n"),
          new Case("links.suspect: unknown field", FEATURE_LINE + "[links]\nsuspect = 1\n"),
          new Case(
              "links.suspect_after_s: must be", FEATURE_LINE + "[links]\nsuspect_after_s = -1\n"),
          new Case(
              "links.suspect_after_s: must be",
              FEATURE_LINE + "[links]\nsuspect_after_s = \"x\"\n"),
          new Case(
              "links.unreachable_after_s: must be above suspect_after_s",
              FEATURE_LINE + "[links]\nunreachable_after_s = 1\n"),
          new Case(
              "damping.suppress_above: must be above reuse_below",
              FEATURE_LINE + "[damping]\nsuppress_above = 700\n"),
          new Case(
              "damping.most_suppressed_s: must not be below half_life_s",
              FEATURE_LINE + "[damping]\nmost_suppressed_s = 5\n"),
          new Case("handover.enabled: must be", FEATURE_LINE + "[handover]\nenabled = 1\n"),
          new Case(
              "status.listen: not of the form", FEATURE_LINE + "[status]\nlisten = \"7171\"\n"),
          new Case(
              "status.listen: not of the form", FEATURE_LINE + "[status]\nlisten = \"a:70000\"\n"),
          new Case("tracing.file: missing", FEATURE_LINE + "[tracing]\nmost_mb = 3\n"),
          new Case(
              "tracing.most_mb: must be", FEATURE_LINE + "[tracing]\nfile = \"x\"\nmost_mb = 0\n"));

  @TempDir Path dir;

  private Path write(String name, String text) throws IOException {
    return Files.writeString(dir.resolve(name), text);
  }

  @Test
  void faultsAreReportedWithFileAndField() throws IOException {
    for (Case testCase : CASES) {
      Path file = write("one.toml", testCase.text());
      List<String> faults = FeatureReader.read(List.of(file)).faults();
      String expected = file + ": " + testCase.fault();
      assertTrue(
          faults.stream().anyMatch(fault -> fault.startsWith(expected)),
          testCase.text() + ": " + faults);
    }
  }

  @Test
  void allFilesAreReadAndTheirFaultsCollected() throws IOException {
    Path valid = write("good.toml", FEATURE_LINE);
    Path duplicate = write("other.toml", FEATURE_LINE + "[links]\nheartbeat_s = 2\n");
    Path missing = dir.resolve("missing.toml");
    assertEquals(Features.NONE, FeatureReader.read(List.of()).features());
    PartialCuts read = FeatureReader.read(List.of(valid)).features().partialCuts().orElseThrow();
    assertTrue(read.status().isEmpty() && read.tracing().isEmpty());
    List<String> faults = FeatureReader.read(List.of(valid, duplicate, missing)).faults();
    assertEquals(2, faults.size(), faults.toString());
    assertTrue(
        faults.get(0).contains("partial-cuts is turned on by " + valid + " too"),
        faults.toString());
    assertTrue(faults.get(1).startsWith(missing + ": can't be read"), faults.toString());
  }

  /** The values in the shipped file equal the defaults for absent fields. */
  @Test
  void shippedFileContainsTheDefaults() throws IOException {
    Path shipped = Path.of("deploy/partial-cuts.toml");
    PartialCuts read = FeatureReader.read(List.of(shipped)).features().partialCuts().orElseThrow();
    PartialCuts defaults =
        FeatureReader.read(List.of(write("bare.toml", FEATURE_LINE + "[status]\n")))
            .features()
            .partialCuts()
            .orElseThrow();
    assertEquals(defaults, read);
  }
}
