package gladeknot.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.NotEmpty;
import org.junit.jupiter.api.Test;

/** Keys of names: all versions find those of ordinary names, and no two names share one. */
class NamedKeysTest {
  private static final NamedKeys KEYS = new NamedKeys("team");

  @Test
  void nameThatFitsAKeyIsPartOfItAsItIs() {
    for (String name : List.of("dev", "équipe", "a/b", "50%", "=0020", "日本", "x".repeat(193))) {
      assertEquals("g/team/" + name, KEYS.key(name));
    }
  }

  @Test
  void otherNamesHaveKeysOfTheirOwn() {
    assertEquals("g/team-escaped/data=0020lab", KEYS.key("data lab"));
    assertEquals("g/team-escaped/" + "=0020".repeat(37), KEYS.key(" ".repeat(37)));
    assertTrue(KEYS.key(" ".repeat(38)).startsWith("g/team-digest/"), "too long when escaped");
    assertTrue(KEYS.key("x".repeat(194)).startsWith("g/team-digest/"), "too long");
  }

  @Test
  void similarNamesDoNotShareAKey() {
    List<String> names = new ArrayList<>();
    names.addAll(List.of("data lab", "data=0020lab", "data\u00a0lab", "data\tlab", "data  lab"));
    names.addAll(List.of("data lab ", " data lab", "datalab", "=0020", " ", "\ud800 ", "\udc00 "));
    for (int length = 185; length < 400; length++) {
      names.add("x".repeat(length));
      names.add("x ".repeat(length / 2));
      names.add("x".repeat(length - 1) + " ");
    }
    Map<String, String> nameByKey = new HashMap<>();
    for (String name : List.copyOf(new LinkedHashSet<>(names))) {
      assertEquals(null, nameByKey.put(KEYS.key(name), name), name);
    }
  }

  @Property(tries = 2000)
  void everyKeyIsWellFormed(@ForAll @NotEmpty String name) {
    String key = KEYS.key(name);
    int bytes = key.getBytes(StandardCharsets.UTF_8).length;
    assertTrue(bytes <= NamedKeys.MAX_KEY_BYTES, key);
    assertTrue(
        key.codePoints().noneMatch(c -> Character.isWhitespace(c) || Character.isSpaceChar(c)),
        key);
    assertTrue(key.startsWith(KEYS.commonPrefix()), key);
  }

  @Property(tries = 2000)
  void differentNamesHaveDifferentKeys(
      @ForAll @NotEmpty String name, @ForAll @NotEmpty String other) {
    if (!name.equals(other)) {
      assertNotEquals(KEYS.key(name), KEYS.key(other));
    }
  }
}
