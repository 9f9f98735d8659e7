package gladeknot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.io.TempDir;

/** Checks which entries and failed tests {@code .ci/KnownRed.java} passes over. */
class KnownRedTest {
  private static final Path PROGRAM = Path.of(".ci", "KnownRed.java");
  private static final int FAULTY = 1;

  private static final String PASSED = "<testcase classname=\"a.B\" name=\"good\"/>";
  private static final String FAILED =
      "<testcase classname=\"a.B\" name=\"bad\"><failure>wrong</failure></testcase>";
  private static final String BROKEN =
      "<testcase classname=\"a.B\" name=\"bad\"><error>thrown</error></testcase>";

  private static final String BAD_ENTRY = "a.B.bad | mvn test -Dtest=B, seed 1 | it fails | 47\n";
  private static final String SCRIPT_ENTRY = ".ci/run | .ci/run, no seed | exit 1 | 47\n";

  @TempDir Path folder;

  /** A case with the fault that is printed; an empty fault if the entries are accepted. */
  private record Case(String name, String entries, String report, String fault) {}

  private static final List<Case> CASES =
      List.of(
          new Case("listed test failed", BAD_ENTRY, PASSED + FAILED, ""),
          new Case("listed test threw an error", BAD_ENTRY, PASSED + BROKEN, ""),
          new Case("unlisted test failed", SCRIPT_ENTRY, PASSED + FAILED, "failed: a.B.bad"),
          new Case("listed test did not run", BAD_ENTRY, PASSED, "no such test ran: a.B.bad"),
          new Case("no test ran", SCRIPT_ENTRY, "", "no test ran"),
          new Case("script exists", SCRIPT_ENTRY, PASSED, ""),
          new Case(
              "script does not exist",
              "review/none.sh | review/none.sh | exit 1 | 47\n",
              PASSED,
              "no such script: review/none.sh"),
          new Case(
              "script is a folder", "./.ci | .ci | exit 1 | 47\n", PASSED, "no such script: ./.ci"),
          new Case(
              "script lies outside",
              "../x/run.sh | run.sh | exit 1 | 47\n",
              PASSED,
              "no such script: ../x/run.sh"),
          new Case(
              "four entries",
              BAD_ENTRY
                  + SCRIPT_ENTRY
                  + ".ci/KnownRed.java | a | b | 47\n"
                  + "pom.xml/../pom.xml | a | b | 47\n",
              PASSED + FAILED,
              ""),
          new Case("three fields", "a.B.bad | it fails | 47\n", FAILED, "not of the form"),
          new Case("five fields", "a.B.bad | a | b | c | 47\n", FAILED, "not of the form"),
          new Case("blank field", "a.B.bad | a |  | 47\n", FAILED, "not of the form"),
          new Case("issue is not a number", "a.B.bad | a | b | none\n", FAILED, "not of the form"),
          new Case("entry twice", BAD_ENTRY + BAD_ENTRY, FAILED, "listed twice: a.B.bad"));

  @TestFactory
  Stream<DynamicTest> entriesAndReports() {
    return CASES.stream().map(c -> DynamicTest.dynamicTest(c.name(), () -> play(c)));
  }

  private void play(Case c) throws IOException, InterruptedException {
    Path entries = Files.writeString(folder.resolve("KNOWN-RED.txt"), c.entries());
    String report = "<testsuite>" + c.report() + "</testsuite>";
    Files.writeString(folder.resolve("TEST-a.B.xml"), report);
    Process process =
        new ProcessBuilder(
                ProcessHandle.current().info().command().orElse("java"),
                PROGRAM.toString(),
                entries.toString(),
                folder.toString())
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(c.fault().isEmpty() ? 0 : FAULTY, process.waitFor(), output);
    assertTrue(output.contains(c.fault()), output);
    c.entries().lines().forEach(line -> assertTrue(output.contains("known red: " + line), output));
  }
}
