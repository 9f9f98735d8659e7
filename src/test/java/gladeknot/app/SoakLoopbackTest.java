package gladeknot.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.standin.LoopbackSoak;
import gladeknot.standin.SoakCommand;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs real processes under overlapping faults from fixed seeds and checks their recorded history.
 * {@link SoakCommand} is the long run. Files of a failed seed stay in {@code target/soak}.
 */
class SoakLoopbackTest {
  private static final long FAULT_MILLIS = 12_000;
  private static final Path DIR = Path.of("target", "soak");

  @ParameterizedTest
  @ValueSource(longs = {101, 103, 104})
  void allInvariantsHold(long seed) {
    Path dir = DIR.resolve("test-seed-" + seed);
    assertEquals(List.of(), LoopbackSoak.problemsOf(dir, seed, FAULT_MILLIS));
  }

  @Test
  void invalidArgumentsAreRejected() {
    assertEquals(2, SoakCommand.run());
    assertEquals(2, SoakCommand.run("1"));
    assertEquals(2, SoakCommand.run("-1", "x", "0"));
    assertEquals(2, SoakCommand.run("1", "1", "1", "1"));
  }
}
