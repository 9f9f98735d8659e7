package gladeknot.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Decoding of heartbeats, and the error messages for malformed ones. */
class HeartbeatCodecTest {
  private static Map<String, Object> message(Object... changes) {
    Map<String, Object> message =
        Json.of(
            "host",
            "vm-000231",
            "endpoint",
            "10.1.0.232:9000",
            "hosttype",
            "g8",
            "glade",
            "a",
            "loaners",
            true,
            "tenure",
            1,
            "tick",
            88,
            "fence",
            41L,
            "recallS",
            null,
            "strands",
            List.of());
    message.putAll(Json.of(changes));
    return message;
  }

  private static Heartbeat.TaskStatus task(Object... fields) throws MalformedHeartbeatException {
    Map<String, Object> task = Json.of("strand", "req-000412/3", "try", 2, "phase", "running");
    task.putAll(Json.of(fields));
    return HeartbeatCodec.read(message("strands", List.of(task))).tasks().get(0);
  }

  private static String problem(Map<String, Object> message) {
    return assertThrows(MalformedHeartbeatException.class, () -> HeartbeatCodec.read(message))
        .getMessage();
  }

  @Test
  void decodesEachField() throws MalformedHeartbeatException {
    assertEquals(
        new Heartbeat(
            "vm-000231",
            "10.1.0.232:9000",
            "g8",
            "a",
            true,
            1,
            88,
            41,
            OptionalDouble.empty(),
            List.of()),
        HeartbeatCodec.read(message()));
  }

  @Test
  void reclaimNoticeIsPresentUnlessNegative() throws MalformedHeartbeatException {
    assertEquals(
        OptionalDouble.of(0), HeartbeatCodec.read(message("recallS", 0)).reclaimInSeconds());
    assertEquals(
        OptionalDouble.of(12.5), HeartbeatCodec.read(message("recallS", 12.5)).reclaimInSeconds());
    assertTrue(HeartbeatCodec.read(message("recallS", -1)).reclaimInSeconds().isEmpty());
  }

  @ParameterizedTest
  @CsvSource({
    "fetching, FETCHING",
    "waiting, WAITING",
    "running, RUNNING",
    "saving, SAVING",
    "ended, ENDED",
    "dreaming, RUNNING",
  })
  void phaseIsDecodedAndKeepsItsText(String word, TaskPhase phase)
      throws MalformedHeartbeatException {
    Heartbeat.TaskStatus status = task("phase", word);
    assertEquals(phase, status.phase());
    assertEquals(word, status.phaseText());
    assertEquals(phase == TaskPhase.ENDED, status.ended());
  }

  @ParameterizedTest
  @CsvSource({
    "done, SUCCEEDED",
    "error, FAILED",
    "no_room, INSUFFICIENT_RESOURCES",
    "busy, TASK_ALREADY_PRESENT",
    "no_such, UNKNOWN_TASK",
    "halted, OTHER",
    "peers, OTHER",
    "incomplete, OTHER",
    "whim, OTHER",
  })
  void causeIsDecodedAndKeepsItsText(String word, EndCause cause)
      throws MalformedHeartbeatException {
    Heartbeat.TaskStatus status = task("phase", "ended", "cause", word);
    assertEquals(cause, status.cause());
    assertEquals(word, status.causeText());
  }

  @Test
  void taskWithoutCauseHasJobAndEmptyCauseText() throws MalformedHeartbeatException {
    Heartbeat.TaskStatus status = task();
    assertEquals("req-000412", status.job());
    assertEquals(2, status.attempt());
    assertEquals(EndCause.OTHER, status.cause());
    assertEquals("", status.causeText());
  }

  @ParameterizedTest
  @ValueSource(strings = {"host", "endpoint", "hosttype", "glade"})
  void missingOrEmptyTextIsRejected(String field) {
    assertEquals(field + ": missing, or not a text", problem(message(field, null)));
    assertEquals(field + ": missing, or not a text", problem(message(field, "")));
    assertEquals(field + ": missing, or not a text", problem(message(field, 7)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"tenure", "tick", "fence"})
  void missingOrNonWholeNumberIsRejected(String field) {
    assertEquals(field + ": must be a whole number", problem(message(field, null)));
    assertEquals(field + ": must be a whole number", problem(message(field, -1)));
    assertEquals(field + ": must be a whole number", problem(message(field, 1.0)));
    assertEquals(field + ": must be a whole number", problem(message(field, "1")));
  }

  @Test
  void malformedTasksAreRejected() throws MalformedHeartbeatException {
    assertEquals("strands: must be a list", problem(message("strands", "none")));
    assertEquals(List.of(), HeartbeatCodec.read(message("strands", null)).tasks());
    for (String name : List.of("req-1", "/3", "req-1/", "req-1/x", "req-1/1234567")) {
      Map<String, Object> task = Json.of("strand", name, "try", 2, "phase", "running");
      assertEquals("strand: must be job/number", problem(message("strands", List.of(task))), name);
    }
  }
}
