package gladeknot.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A file under {@code src/test/resources/golden} with named texts, each after a line {@code ==
 * NAME}.
 *
 * <p>Tests compare what the code sends or stores with these texts. With the system property {@value
 * #MODE_PROPERTY} set to {@value #RECORD} they rewrite the files instead. Review and explain such a
 * difference like a change of the code: components that run the previous version read the formats
 * in these files.
 */
final class GoldenFile {
  private static final String MODE_PROPERTY = "gladeknot.golden";
  private static final String RECORD = "record";
  private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden");
  private static final String HEADER = "== ";

  private final Path path;

  /** Creates a file from its path relative to the directory of golden files. */
  GoldenFile(String name) {
    path = DIRECTORY.resolve(name);
  }

  /** Returns whether files are rewritten rather than compared. */
  static boolean recording() {
    return RECORD.equals(System.getProperty(MODE_PROPERTY));
  }

  /** Returns the content of a file that tests only read. */
  static byte[] bytes(String name) {
    try {
      return Files.readAllBytes(DIRECTORY.resolve(name));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Compares one text, or rewrites it when recording. */
  void check(String name, String actual) {
    if (recording()) {
      Map<String, String> texts = Files.exists(path) ? read() : new LinkedHashMap<>();
      texts.put(name, actual);
      write(texts);
      return;
    }
    String expected = read().get(name);
    assertNotNull(
        expected, () -> path + " has no text named " + name + "; it would be:\n" + actual);
    assertEquals(expected, actual, () -> path + " differs at " + name);
  }

  /** Compares the whole file; fails also if a text is missing or belongs to no case. */
  void checkAll(Map<String, String> actual) {
    if (recording()) {
      write(actual);
      return;
    }
    actual.forEach(this::check);
    checkNames(actual.keySet());
  }

  /** Fails if the file has other names than the given ones; removes other texts when recording. */
  void checkNames(Collection<String> names) {
    if (recording()) {
      Map<String, String> texts = read();
      texts.keySet().retainAll(names);
      write(texts);
      return;
    }
    assertEquals(
        names.stream().sorted().toList(),
        read().keySet().stream().sorted().toList(),
        () -> path + " has a name that is not expected, or lacks one");
  }

  /** Returns all texts of the file by name. */
  Map<String, String> read() {
    Map<String, String> texts = new LinkedHashMap<>();
    String name = null;
    List<String> lines = new ArrayList<>();
    try {
      for (String line : Files.readAllLines(path)) {
        if (line.startsWith(HEADER)) {
          put(texts, name, lines);
          name = line.substring(HEADER.length());
          lines.clear();
        } else {
          lines.add(line);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    put(texts, name, lines);
    return texts;
  }

  private static void put(Map<String, String> texts, String name, List<String> lines) {
    if (name != null) {
      texts.put(name, String.join("\n", lines));
    }
  }

  private void write(Map<String, String> texts) {
    StringBuilder all = new StringBuilder();
    texts.forEach(
        (name, text) -> all.append(HEADER).append(name).append('\n').append(text).append('\n'));
    try {
      Files.createDirectories(path.getParent());
      Files.write(path, all.toString().getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
