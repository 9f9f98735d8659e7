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

/** Tests the fields of a packed value and its approximate size as JSON. */
class PackedValueTest {
  private static final Map<String, Object> FIELDS = Json.of("req-1", "a|b", "req-22", "c");

  @Test
  void fieldsMatchEntry() {
    PackedValue value = PackedValue.of(new Entry(FIELDS, 7));
    assertEquals("a|b", value.get("req-1"));
    assertNull(value.get("req-2"));
    assertTrue(value.contains("req-22"));
    assertEquals(Set.of("req-1", "req-22"), value.fieldNames());
    assertSame(PackedValue.EMPTY, PackedValue.of((Entry) null));
  }

  /** This size decides whether a segment has become too large. */
  @Test
  void encodedBytesMatchesJsonWithoutBraces() {
    String json = "\"req-1\":\"a|b\",\"req-22\":\"c\",";
    assertEquals(json.length(), PackedValue.of(FIELDS).encodedBytes());
    assertEquals(0, PackedValue.EMPTY.encodedBytes());
  }

  @Test
  void changingCopyDoesNotChangeValue() {
    PackedValue value = PackedValue.of(FIELDS);
    value.copyFields().remove("req-1");
    assertTrue(value.contains("req-1"));
  }

  /** A value that a transaction wrote is recognized in the cache without comparing texts. */
  @Test
  void onlyViewsOfTheSameMapAreTheSameValue() {
    assertTrue(PackedValue.of(FIELDS).isSameAs(PackedValue.of(new Entry(FIELDS, 8))));
    assertTrue(PackedValue.of(FIELDS).isViewOf(FIELDS));
    assertFalse(PackedValue.of(FIELDS).isSameAs(PackedValue.of(Json.of("req-1", "a|b"))));
  }
}
