package gladeknot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that the architecture page names only types that exist. */
class ArchitecturePageTest {
  private static final Path PAGE = Path.of("docs", "architecture.md");
  private static final String EXTENSION = ".java";

  /** Type name in backquotes, optionally followed by a member. */
  private static final Pattern TYPE =
      Pattern.compile("`([A-Z][a-z0-9]+(?:[A-Z][A-Za-z0-9]*)?)(?:\\.[a-zA-Z]+)?`");

  @Test
  void typesNamedOnThePageExist() throws IOException {
    Set<String> missing = typesNamed();
    assertTrue(missing.size() > 50, "only " + missing.size() + " names found");
    missing.removeAll(typesInSources());
    assertEquals(Set.of(), missing);
  }

  private static Set<String> typesNamed() throws IOException {
    Set<String> names = new TreeSet<>();
    Matcher matcher = TYPE.matcher(Files.readString(PAGE));
    while (matcher.find()) {
      names.add(matcher.group(1));
    }
    return names;
  }

  private static Set<String> typesInSources() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("src"))) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.endsWith(EXTENSION))
          .map(name -> name.substring(0, name.length() - EXTENSION.length()))
          .collect(Collectors.toSet());
    }
  }
}
