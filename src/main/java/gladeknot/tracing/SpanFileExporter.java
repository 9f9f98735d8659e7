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
 * Writes each span as one line of JSON to a file. To bound disk use, a file that has reached its
 * maximum size is renamed, which replaces the file renamed before, and a new file is started. Spans
 * that can't be written are dropped; a series of failures is logged once.
 */
public final class SpanFileExporter implements SpanExporter {
  private static final Logger LOG = LoggerFactory.getLogger(SpanFileExporter.class);

  /** Suffix that is appended to the name of a full file. */
  static final String FULL_SUFFIX = ".1";

  private final Path file;
  private final long maxBytes;
  private OutputStream output;
  private long writtenBytes;
  private boolean lastExportFailed;

  /** Opens the file; appends to it if it exists. */
  public SpanFileExporter(Path file, long maxBytes) throws IOException {
    this.file = file;
    this.maxBytes = maxBytes;
    open();
  }

  private void open() throws IOException {
    output =
        new BufferedOutputStream(
            Files.newOutputStream(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    writtenBytes = Files.size(file);
  }

  @Override
  public synchronized CompletableResultCode export(Collection<SpanData> spans) {
    try {
      for (SpanData span : spans) {
        write(span);
      }
      output.flush();
      lastExportFailed = false;
      return CompletableResultCode.ofSuccess();
    } catch (IOException e) {
      // Logged once per series of failures, because spans are exported every second.
      if (!lastExportFailed) {
        LOG.error("spans dropped file={} cause={}", file, e.toString());
      }
      lastExportFailed = true;
      return CompletableResultCode.ofFailure();
    }
  }

  private void write(SpanData span) throws IOException {
    byte[] line = Json.bytes(fields(span));
    if (writtenBytes + line.length + 1 > maxBytes && writtenBytes > 0) {
      rotate();
    }
    output.write(line);
    output.write('\n');
    writtenBytes += line.length + 1;
  }

  private void rotate() throws IOException {
    output.close();
    Path fullFile = file.resolveSibling(file.getFileName() + FULL_SUFFIX);
    Files.move(file, fullFile, StandardCopyOption.REPLACE_EXISTING);
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
      output.flush();
      return CompletableResultCode.ofSuccess();
    } catch (IOException e) {
      return CompletableResultCode.ofFailure();
    }
  }

  @Override
  public synchronized CompletableResultCode shutdown() {
    try {
      output.close();
      return CompletableResultCode.ofSuccess();
    } catch (IOException e) {
      return CompletableResultCode.ofFailure();
    }
  }
}
