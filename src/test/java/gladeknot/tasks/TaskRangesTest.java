package gladeknot.tasks;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TaskRangesTest {
  @ParameterizedTest
  @ValueSource(strings = {"", "0", "0-4", "0-4,7", "3,5,9-99999"})
  void parsedTextIsFormattedUnchanged(String text) {
    assertEquals(text, TaskRanges.text(TaskRanges.parse(text)));
  }
}
