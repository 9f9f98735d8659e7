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

/** The structure of the production code: which package may use which, where wire words are. */
class ArchitectureTest {
  private static final String ROOT = "gladeknot";

  /** All packages; each may use those after it and none before it. */
  private static final List<String> ORDER =
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
          "json");

  private static final Path SOURCES = Path.of("src", "main", "java");

  /** Names that the protocol gives to fields and that the code has other terms for. */
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

  /** Wire words outside codecs that are still to be moved; nothing is added here. */
  private static final Map<String, Set<String>> WIRE_WORDS_OUTSIDE_CODECS =
      Map.of("jobs/SubmissionErrors.java", Set.of("hosttypes"));

  private static final Pattern STRING_LITERAL = Pattern.compile("\"([A-Za-z]+)\"");

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages(ROOT);

  private static String allOf(String name) {
    return ROOT + "." + name + "..";
  }

  @TestFactory
  Stream<DynamicTest> noPackageUsesOneBeforeIt() {
    return ORDER.stream()
        .skip(1)
        .map(name -> DynamicTest.dynamicTest(name, () -> checkUsesNoneBefore(name)));
  }

  private static void checkUsesNoneBefore(String name) {
    String[] before =
        ORDER.subList(0, ORDER.indexOf(name)).stream()
            .map(ArchitectureTest::allOf)
            .toArray(String[]::new);
    noClasses()
        .that()
        .resideInAPackage(allOf(name))
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(before)
        .check(CLASSES);
  }

  @Test
  void theOrderNamesAllPackages() {
    Set<String> found = new TreeSet<>();
    CLASSES.forEach(type -> found.add(type.getPackageName()));
    Set<String> named = ORDER.stream().map(name -> ROOT + "." + name).collect(Collectors.toSet());
    assertEquals(new TreeSet<>(named), found);
  }

  /** A word that is no longer used is to be removed from the list, so that it can only shrink. */
  @Test
  void wireWordsAreInCodecsOnly() throws IOException {
    Map<String, Set<String>> found = new TreeMap<>();
    Path root = SOURCES.resolve(ROOT);
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : files.filter(ArchitectureTest::isNoCodec).toList()) {
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

  /** Without this an empty directory would pass. */
  @Test
  void codecsUseTheWireWords() throws IOException {
    Set<String> inCodecs = new TreeSet<>();
    try (Stream<Path> files = Files.walk(SOURCES)) {
      for (Path file : files.filter(path -> path.toString().endsWith("Codec.java")).toList()) {
        inCodecs.addAll(wireWords(Files.readString(file)));
      }
    }
    assertTrue(inCodecs.contains("strands"), () -> "only " + inCodecs);
  }

  private static boolean isNoCodec(Path path) {
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
