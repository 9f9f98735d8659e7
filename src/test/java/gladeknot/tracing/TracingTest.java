package gladeknot.tracing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.json.Json;
import gladeknot.tracing.TaskTracer.AttemptId;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the spans as written to the file. */
class TracingTest {
  private static final long LARGE_FILE_BYTES = 1 << 20;

  @TempDir Path dir;

  private List<Map<String, Object>> record(long maxBytes, Consumer<TaskTracer> steps)
      throws IOException {
    Path file = dir.resolve("spans.jsonl");
    SpanFileExporter exporter = new SpanFileExporter(file, maxBytes);
    try (SdkTracerProvider provider =
        SdkTracerProvider.builder()
            .addSpanProcessor(SimpleSpanProcessor.create(exporter))
            .build()) {
      steps.accept(new OpenTelemetryTaskTracer(provider.get("test"), 3));
    }
    List<Map<String, Object>> spans = new ArrayList<>();
    for (String line : Files.readAllLines(file)) {
      spans.add(Json.object(line.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
    }
    return spans;
  }

  @Test
  void attemptIsOneSpanFromCommitToEnd() throws IOException {
    AttemptId attempt = new AttemptId("req-a", "req-a/3", 7);
    List<Map<String, Object>> spans =
        record(
            LARGE_FILE_BYTES,
            tracer -> {
              tracer.setTime(1_000_000);
              tracer.submitted("req-a");
              tracer.setTime(1_500_000);
              tracer.accepted("req-a");
              tracer.committed(attempt, "vm-1", 2, 9);
              tracer.runSent(attempt);
              tracer.setTime(2_500_000);
              tracer.phaseObserved(attempt, "running");
              tracer.setTime(4_000_000);
              tracer.ended(attempt, "done");
              tracer.ended(attempt, "done");
            });
    assertEquals(2, spans.size());
    Map<String, Object> submissionSpan = spans.get(0);
    Map<String, Object> attemptSpan = spans.get(1);
    assertEquals("submission", submissionSpan.get("name"));
    assertEquals(submissionSpan.get("traceId"), attemptSpan.get("traceId"));
    assertEquals(submissionSpan.get("parentSpanId"), attemptSpan.get("parentSpanId"));
    assertNotEquals(submissionSpan.get("spanId"), attemptSpan.get("spanId"));
    assertEquals(1_500_000_000L, Json.longValue(attemptSpan, "startTimeUnixNano", 0));
    assertEquals(4_000_000_000L, Json.longValue(attemptSpan, "endTimeUnixNano", 0));
    Map<String, Object> attributes = Json.map(attemptSpan.get("attributes"));
    assertEquals(2, Json.longValue(attributes, "shard.number", -1));
    assertEquals(9, Json.longValue(attributes, "shard.term", -1));
    assertEquals("done", attributes.get("end.cause"));
    assertEquals("OK", attemptSpan.get("status"));
    List<Object> events =
        Json.objects(attemptSpan, "events").stream().map(e -> e.get("name")).toList();
    assertEquals(List.of("ordered", "reported running"), events);
  }

  @Test
  void refusedSurplusAndReleasedSpansEndWithTheirCause() throws IOException {
    List<Map<String, Object>> spans =
        record(
            LARGE_FILE_BYTES,
            tracer -> {
              tracer.submitted("req-r");
              tracer.refused("req-r", "not committed in time");
              for (int i = 0; i < 4; i++) {
                tracer.committed(new AttemptId("req-b", "req-b/" + i, 1), "vm-1", i % 2, 3);
              }
              tracer.shardReleased(1);
            });
    List<Object> causes =
        spans.stream().map(span -> Json.map(span.get("attributes")).get("end.cause")).toList();
    assertEquals(
        List.of(
            "not committed in time",
            "too many are open",
            "the shard is no longer ours",
            "the shard is no longer ours"),
        causes);
  }

  @Test
  void fullFileIsRenamedToBoundDiskUse() throws IOException {
    List<Map<String, Object>> newestSpans =
        record(
            2000,
            tracer -> {
              for (int i = 0; i < 40; i++) {
                tracer.submitted("req-" + i);
                tracer.accepted("req-" + i);
              }
            });
    assertTrue(newestSpans.size() < 10, newestSpans.size() + " spans in the newest file");
    assertTrue(Files.size(dir.resolve("spans.jsonl" + SpanFileExporter.FULL_SUFFIX)) <= 2000);
  }
}
