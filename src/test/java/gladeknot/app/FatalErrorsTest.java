package gladeknot.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gladeknot.errors.FatalErrors;
import gladeknot.json.Json;
import gladeknot.standin.LoopbackScale;
import gladeknot.standin.LoopbackServices;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A controller that can't go on ends, so that it is started again. */
class FatalErrorsTest {
  /** Unknown keys, which the watch cache keeps; they need more than the heap of the process. */
  private static final int KEYS = 100_000;

  private static final int MAX_SECONDS = 60;

  /** Guards against a process that stays without serving after its memory was exhausted. */
  @Test
  void exhaustedMemoryEndsTheProcess(@TempDir Path dir) throws Exception {
    LoopbackServices services =
        new LoopbackServices(LoopbackServices.Links.DIRECT, Optional.empty(), LoopbackScale.SMALL);
    services.start(dir, 1);
    for (int i = 0; i < KEYS; i++) {
      services.presetState(String.format("g/x/%06d", i), Json.of("n", i));
    }
    Path log = dir.resolve("node-0.log");
    Process process = start(dir.resolve("node-0.toml"), log);
    try {
      boolean ended = process.waitFor(MAX_SECONDS, TimeUnit.SECONDS);
      String logged = Files.readString(log);
      assertTrue(ended, "still runs after " + MAX_SECONDS + " s: " + logged);
      assertEquals(FatalErrors.EXIT_CODE, process.exitValue(), logged);
      assertTrue(logged.contains("process ends event=reply"), logged);
      assertTrue(logged.contains("OutOfMemoryError"), logged);
    } finally {
      process.destroyForcibly();
      services.stop();
    }
  }

  private static Process start(Path settings, Path log) throws Exception {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    List<String> command =
        List.of(
            ProcessHandle.current().info().command().orElse("java"),
            "-Xmx24m",
            "-XX:+UseSerialGC",
            "-cp",
            classPath,
            "gladeknot.app.Main",
            "--config",
            settings.toString());
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(log.toFile())
        .start();
  }
}
