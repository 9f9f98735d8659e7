package gladeknot.tracing;

import gladeknot.settings.PartialCuts;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;

/** Sets tracing to a file up: spans are handed to a thread of the SDK, which writes them. */
public final class FileTracing {
  private static final int MAX_OPEN = 20_000;
  private static final int QUEUE = 4096;
  private static final Duration WRITE_EVERY = Duration.ofSeconds(1);
  private static final String SCOPE = "gladeknot";

  private FileTracing() {}

  /** Opens the file; what is recorded is written at the end of the process at the latest. */
  public static TaskTracer open(PartialCuts.Tracing settings) throws IOException {
    SpanFileExporter exporter =
        new SpanFileExporter(Path.of(settings.file()), settings.mostBytes());
    SdkTracerProvider provider =
        SdkTracerProvider.builder()
            .addSpanProcessor(
                BatchSpanProcessor.builder(exporter)
                    .setMaxQueueSize(QUEUE)
                    .setScheduleDelay(WRITE_EVERY)
                    .build())
            .build();
    Runtime.getRuntime().addShutdownHook(new Thread(provider::close, "span-writer-end"));
    return new OpenTelemetryTaskTracer(provider.get(SCOPE), MAX_OPEN);
  }
}
