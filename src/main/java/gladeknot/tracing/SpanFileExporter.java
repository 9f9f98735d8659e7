package gladeknot.tracing;

import gladeknot.json.Json;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.SpanId;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.EventData;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes each span as one line of JSON to a file. A file that has reached its size is renamed, over
 * the one renamed before, and a new one is begun, so that disk use is bounded. What can't be
 * written is dropped and said once.
 */
public final class SpanFileExporter implements SpanExporter {
  private static final Logger LOG = LoggerFactory.getLogger(SpanFileExporter.class);

  /** Added to the name of a file that is full. */
  static final String FULL_SUFFIX = ".1";

  private final Path file;
  private final long maxBytes;
  private OutputStream out;
  private long written;
  private boolean failed;

  /** Opens the file, and goes on at its end if it exists. */
  public SpanFileExporter(Path file, long maxBytes) throws IOException {
    this.file = file;
    this.maxBytes = maxBytes;
    open();
  }

  private void open() throws IOException {
    out =
        new BufferedOutputStream(
            Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    written = Files.size(file);
  }

  @Override
  public synchronized CompletableResultCode export(Collection<SpanData> spans) {
    try {
      for (SpanData span : spans) {
        write(span);
      }
      out.flush();
      failed = false;
      return CompletableResultCode.ofSuccess();
    } catch (IOException e) {
      // Said once for a series of failures: spans are exported every second.
      if (!failed) {
        LOG.error("spans dropped file={} cause={}", file, e.toString());
      }
      failed = true;
      return CompletableResultCode.ofFailure();
    }
  }

  private void write(SpanData span) throws IOException {
    byte[] line = Json.bytes(fields(span));
    if (written + line.length + 1 > maxBytes && written > 0) {
      rotate();
    }
    out.write(line);
    out.write('\n');
    written += line.length + 1;
  }

  private void rotate() throws IOException {
    out.close();
    Path full = file.resolveSibling(file.getFileName() + FULL_SUFFIX);
    Files.move(file, full, StandardCopyOption.REPLACE_EXISTING);
    open();
  }

  private static Map<String, Object> fields(SpanData span) {
    String parent = span.getParentSpanId();
    return Json.of(
        "traceId", span.getTraceId(),
        "spanId", span.getSpanId(),
        "parentSpanId", SpanId.isValid(parent) ? parent : null,
        "name", span.getName(),
        "startTimeUnixNano", span.getStartEpochNanos(),
        "endTimeUnixNano", span.getEndEpochNanos(),
        "status", span.getStatus().getStatusCode().name(),
        "attributes", attributes(span),
        "events", events(span));
  }

  private static Map<String, Object> attributes(SpanData span) {
    Map<String, Object> attributes = new LinkedHashMap<>();
    span.getAttributes()
        .forEach((AttributeKey<?> key, Object value) -> attributes.put(key.getKey(), value));
    return attributes;
  }

  private static List<Object> events(SpanData span) {
    List<Object> events = new ArrayList<>();
    for (EventData event : span.getEvents()) {
      events.add(Json.of("timeUnixNano", event.getEpochNanos(), "name", event.getName()));
    }
    return events;
  }

  @Override
  public synchronized CompletableResultCode flush() {
    try {
      out.flush();
      return CompletableResultCode.ofSuccess();
    } catch (IOException e) {
      return CompletableResultCode.ofFailure();
    }
  }

  @Override
  public synchronized CompletableResultCode shutdown() {
    try {
      out.close();
      return CompletableResultCode.ofSuccess();
    } catch (IOException e) {
      return CompletableResultCode.ofFailure();
    }
  }
}
