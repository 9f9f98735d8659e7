package gladeknot.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import gladeknot.json.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Encoded messages to workers, byte for byte. */
class CommandCodecTest {
  private static final List<WorkerCommand> COMMANDS =
      List.of(
          new WorkerCommand.Purge("req-000398/0", 1),
          new WorkerCommand.Kill("req-000377/1", 1, 10.5),
          WorkerCommand.Kill.immediately("req-000377/2", 1),
          new WorkerCommand.Run("req-000412/4", 2));

  private static final String ENCODED =
      "\"orders\":["
          + "{\"verb\":\"reap\",\"strand\":\"req-000398/0\",\"try\":1},"
          + "{\"verb\":\"kill\",\"strand\":\"req-000377/1\",\"try\":1,\"windDownS\":10.5},"
          + "{\"verb\":\"kill\",\"strand\":\"req-000377/2\",\"try\":1,\"windDownS\":0.0},"
          + "{\"verb\":\"run\",\"strand\":\"req-000412/4\",\"try\":2}]}";

  private static String text(Map<String, Object> message) {
    return new String(Json.bytes(message), StandardCharsets.UTF_8);
  }

  @Test
  void answerContainsTokenAndCommandsInOrder() {
    assertEquals("{\"fence\":41," + ENCODED, text(CommandCodec.answer(41, COMMANDS)));
    assertEquals("{\"fence\":41,\"orders\":[]}", text(CommandCodec.answer(41, List.of())));
  }

  @Test
  void directCommandsContainIncarnation() {
    assertEquals(
        "{\"fence\":41,\"tenure\":3," + ENCODED,
        text(CommandCodec.directCommands(41, 3, COMMANDS)));
  }

  @Test
  void redirectContainsNode() {
    assertEquals("{\"foreman\":\"knotbox-2\"}", text(CommandCodec.redirect("knotbox-2")));
  }
}
