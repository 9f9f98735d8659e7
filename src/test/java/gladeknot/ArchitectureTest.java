package gladeknot;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/**
 * Checks the structure of the production code: the permitted dependencies between packages, and
 * that the protocol's field names occur only in codecs.
 */
class ArchitectureTest {
  private static final String ROOT = "gladeknot";

  /** All packages, from highest to lowest; each may depend only on packages after it. */
  private static final List<String> PACKAGES_HIGHEST_FIRST =
      List.of(
          "app",
          "http",
          "fleet",
          "scheduling",
          "quota",
          "lifecycle",
          "commit",
          "workers",
          "tasks",
          "jobs",
          "membership",
          "connectivity",
          "state",
          "outbox",
          "peer",
          "tracing",
          "policy",
          "settings",
          "json",
          "errors");

  private static final Path SOURCES = Path.of("src", "main", "java");

  /** Names of protocol fields for which the code uses other terms. */
  private static final Set<String> WIRE_WORDS =
      Set.of(
          "strands",
          "jobclass",
          "hosttype",
          "hosttypes",
          "glade",
          "loaners",
          "tenure",
          "tick",
          "fence",
          "recallS",
          "windDownS",
          "foreman",
          "bundle",
          "guessS",
          "snapshotS",
          "flushS",
          "dueS",
          "hire",
          "marketPrice");

  /** Wire words outside codecs, by file. Existing exceptions that are to be moved; add none. */
  private static final Map<String, Set<String>> WIRE_WORDS_OUTSIDE_CODECS =
      Map.of("jobs/SubmissionErrors.java", Set.of("hosttypes"));

  private static final Pattern STRING_LITERAL = Pattern.compile("\"([A-Za-z]+)\"");

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages(ROOT);

  private static String packagePattern(String name) {
    return ROOT + "." + name + "..";
  }

  @TestFactory
  Stream<DynamicTest> packagesDoNotDependOnHigherOnes() {
    return PACKAGES_HIGHEST_FIRST.stream()
        .skip(1)
        .map(name -> DynamicTest.dynamicTest(name, () -> checkNoDependencyOnHigherPackages(name)));
  }

  private static void checkNoDependencyOnHigherPackages(String name) {
    String[] higherPackages =
        PACKAGES_HIGHEST_FIRST.subList(0, PACKAGES_HIGHEST_FIRST.indexOf(name)).stream()
            .map(ArchitectureTest::packagePattern)
            .toArray(String[]::new);
    noClasses()
        .that()
        .resideInAPackage(packagePattern(name))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(higherPackages)
        .check(CLASSES);
  }

  @Test
  void orderListsAllPackages() {
    Set<String> found = new TreeSet<>();
    CLASSES.forEach(type -> found.add(type.getPackageName()));
    Set<String> listed =
        PACKAGES_HIGHEST_FIRST.stream().map(name -> ROOT + "." + name).collect(Collectors.toSet());
    assertEquals(new TreeSet<>(listed), found);
  }

  /**
   * The found exceptions must equal the listed ones, so that a listed word that is no longer used
   * has to be removed and the list can only shrink.
   */
  @Test
  void wireWordsOccurOnlyInCodecs() throws IOException {
    Map<String, Set<String>> found = new TreeMap<>();
    Path root = SOURCES.resolve(ROOT);
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : files.filter(ArchitectureTest::isNotCodec).toList()) {
        Set<String> words = wireWords(Files.readString(file));
        if (!words.isEmpty()) {
          found.put(root.relativize(file).toString().replace('\\', '/'), words);
        }
      }
    }
    Map<String, Set<String>> listed = new TreeMap<>();
    WIRE_WORDS_OUTSIDE_CODECS.forEach((file, words) -> listed.put(file, new TreeSet<>(words)));
    assertEquals(listed, found);
  }

  /** Guards the other check: it would also pass if no sources were found. */
  @Test
  void codecsContainWireWords() throws IOException {
    Set<String> inCodecs = new TreeSet<>();
    try (Stream<Path> files = Files.walk(SOURCES)) {
      for (Path file : files.filter(path -> path.toString().endsWith("Codec.java")).toList()) {
        inCodecs.addAll(wireWords(Files.readString(file)));
      }
    }
    assertTrue(inCodecs.contains("strands"), () -> "only " + inCodecs);
  }

  private static boolean isNotCodec(Path path) {
    return path.toString().endsWith(".java") && !path.toString().endsWith("Codec.java");
  }

  private static Set<String> wireWords(String source) {
    Set<String> words = new TreeSet<>();
    Matcher literal = STRING_LITERAL.matcher(source);
    while (literal.find()) {
      if (WIRE_WORDS.contains(literal.group(1))) {
        words.add(literal.group(1));
      }
    }
    return words;
  }
}
