package gladeknot.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.tasks.RecordedAttempts;
import gladeknot.tasks.RecordedAttempts.Recorded;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards the format of attempts in stored slices, in the plain and the compact form. The cases
 * include values that few clusters reach.
 */
class GoldenAttemptsTest {
  private static final String JOB = "req-000412";
  private static final GoldenFile FILE = new GoldenFile("stored/attempts.txt");
  private static final String PLAIN = ", plain";
  private static final String COMPACT = ", compact";
  private static final int MANY_ATTEMPTS = 70;

  private record Case(String name, List<Recorded> attempts) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static Recorded attempt(int task, long number, String host) {
    return new Recorded(JOB + "/" + task, number, host);
  }

  private static List<Recorded> manyAttempts() {
    List<Recorded> attempts = new ArrayList<>();
    for (int i = 0; i < MANY_ATTEMPTS; i++) {
      attempts.add(attempt(3 * i, 1000 + i * 7 % 11, String.format("vm-%06d", 900 - 13 * i)));
    }
    return attempts;
  }

  private static List<Case> cases() {
    return List.of(
        new Case("none", List.of()),
        new Case("one", List.of(attempt(0, 4, "vm-000231"))),
        new Case("a gang", List.of(attempt(0, 4, "vm-000231"), attempt(1, 4, "vm-000007"))),
        new Case("last task", List.of(attempt(99_999, 5, "vm-999999"))),
        new Case(
            "large numbers",
            List.of(
                attempt(7, 1L << 40, "vm-000231"),
                attempt(8, 3, "vm-000231"),
                attempt(9, Long.MAX_VALUE / 4, "vm-000230"))),
        new Case("long names", List.of(attempt(0, 4, "m-123456789012345678"))),
        new Case("names of digits", List.of(attempt(0, 4, "000231"), attempt(1, 5, "000232"))),
        new Case("unlike widths", List.of(attempt(1, 4, "vm-1"), attempt(2, 4, "vm-22"))),
        new Case("unlike names", List.of(attempt(1, 4, "va-1"), attempt(2, 4, "vb-2"))),
        new Case("no digits", List.of(attempt(1, 4, "host"), attempt(2, 4, "node"))),
        new Case("colons", List.of(attempt(1, 4, "a:b-1"), attempt(2, 4, "a:b-2"))),
        new Case("many", manyAttempts()));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void attemptsAreWrittenAsRecordedInBothForms(Case testCase) {
    FILE.check(testCase.name() + PLAIN, RecordedAttempts.plain(testCase.attempts()));
    FILE.check(testCase.name() + COMPACT, RecordedAttempts.compact(testCase.attempts()));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void recordedAttemptsAreReadInBothForms(Case testCase) {
    for (String form : List.of(PLAIN, COMPACT)) {
      String text = FILE.read().get(testCase.name() + form);
      assertEquals(testCase.attempts(), RecordedAttempts.read(JOB, text), form);
    }
  }

  @Test
  void fileHoldsOnlyTextsOfCases() {
    List<String> names = new ArrayList<>();
    for (Case testCase : cases()) {
      names.add(testCase.name() + PLAIN);
      names.add(testCase.name() + COMPACT);
    }
    FILE.checkNames(names);
  }
}
