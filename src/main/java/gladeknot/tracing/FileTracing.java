package gladeknot.tracing;

import gladeknot.settings.PartialCuts;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;

/** Sets up tracing to a file. A thread of the SDK writes the spans. */
public final class FileTracing {
  private static final int MAX_OPEN_SPANS = 20_000;
  private static final int MAX_QUEUED_SPANS = 4096;
  private static final Duration WRITE_INTERVAL = Duration.ofSeconds(1);
  private static final String INSTRUMENTATION_SCOPE = "gladeknot";

  private FileTracing() {}

  /** Opens the file. The remaining spans are written to it when the process ends. */
  public static TaskTracer open(PartialCuts.Tracing settings) throws IOException {
    SpanFileExporter exporter = new SpanFileExporter(Path.of(settings.file()), settings.maxBytes());
    SdkTracerProvider provider =
        SdkTracerProvider.builder()
            .addSpanProcessor(
                BatchSpanProcessor.builder(exporter)
                    .setMaxQueueSize(MAX_QUEUED_SPANS)
                    .setScheduleDelay(WRITE_INTERVAL)
                    .build())
            .build();
    Runtime.getRuntime().addShutdownHook(new Thread(provider::close, "span-writer-end"));
    return new OpenTelemetryTaskTracer(provider.get(INSTRUMENTATION_SCOPE), MAX_OPEN_SPANS);
  }
}
