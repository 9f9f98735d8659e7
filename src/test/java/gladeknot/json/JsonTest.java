package gladeknot.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTest {
  /** Guards against a stack overflow, and a closed connection, in place of an answer with 400. */
  @ParameterizedTest
  @ValueSource(ints = {32, 500, 900, 20_000})
  void deeplyNestedTextIsNotAnObject(int depth) {
    assertThrows(IOException.class, () -> Json.object(nested(depth)));
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 5, 31})
  void ordinaryNestingIsRead(int depth) throws IOException {
    assertEquals(1, Json.object(nested(depth)).size());
  }

  private static byte[] nested(int depth) {
    String text = "{\"id\":" + "[".repeat(depth) + "]".repeat(depth) + "}";
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
