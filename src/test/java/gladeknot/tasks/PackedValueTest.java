package gladeknot.tasks;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.state.Entry;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The fields of a key, and about how long they are as JSON. */
class PackedValueTest {
  private static final Map<String, Object> FIELDS = Json.of("req-1", "a|b", "req-22", "c");

  @Test
  void fieldsAreThoseOfTheEntry() {
    PackedValue value = PackedValue.of(new Entry(FIELDS, 7));
    assertEquals("a|b", value.get("req-1"));
    assertNull(value.get("req-2"));
    assertTrue(value.contains("req-22"));
    assertEquals(Set.of("req-1", "req-22"), value.fieldNames());
    assertSame(PackedValue.EMPTY, PackedValue.of((Entry) null));
  }

  /** By this size it is decided whether a segment has become too large. */
  @Test
  void theSizeIsThatOfTheJsonWithoutItsBraces() {
    String json = "\"req-1\":\"a|b\",\"req-22\":\"c\",";
    assertEquals(json.length(), PackedValue.of(FIELDS).encodedBytes());
    assertEquals(0, PackedValue.EMPTY.encodedBytes());
  }

  @Test
  void aCopyLeavesTheValueAsItWas() {
    PackedValue value = PackedValue.of(FIELDS);
    value.copyFields().remove("req-1");
    assertTrue(value.contains("req-1"));
  }

  /** What a transaction wrote is recognized in the copy without comparing its texts. */
  @Test
  void viewsOfOneMapAreTheSameValue() {
    assertTrue(PackedValue.of(FIELDS).isSameAs(PackedValue.of(new Entry(FIELDS, 8))));
    assertTrue(PackedValue.of(FIELDS).isViewOf(FIELDS));
    assertFalse(PackedValue.of(FIELDS).isSameAs(PackedValue.of(Json.of("req-1", "a|b"))));
  }
}
