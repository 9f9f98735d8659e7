package gladeknot.standin;

import gladeknot.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Fake services behind real sockets on loopback, and settings files for controllers. {@code main
 * DIR} runs until it is killed. {@code main DIR train COMMAND...} starts one controller, runs a
 * short session with it and terminates it normally.
 */
public final class StandInServer {
  private static final long TASK_MICROS = 1_500_000;
  private static final int CONTROLLERS = 3;
  private static final int FIRST_STATUS_PORT = 7171;
  private static final long TRAINING_TIMEOUT_MICROS = 30_000_000;

  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
  private final LoopbackServices services =
      new LoopbackServices(
          LoopbackServices.Links.DIRECT,
          Optional.empty(),
          LoopbackScale.SMALL.withTaskMicros(TASK_MICROS));

  private StandInServer() {}

  private HttpResponse<byte[]> post(String node, String path, byte[] body) throws IOException {
    return send(node, path, HttpRequest.BodyPublishers.ofByteArray(body), "POST");
  }

  private HttpResponse<byte[]> send(
      String node, String path, HttpRequest.BodyPublisher body, String method) throws IOException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + node + path))
            .timeout(Duration.ofSeconds(3))
            .method(method, body)
            .build();
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofByteArray());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private static byte[] job(String id, String shape, int tasks) {
    Map<String, Object> job = TestJobs.job(id, shape, tasks);
    job.put("guessS", TASK_MICROS / 1e6);
    return Json.bytes(job);
  }

  /** Runs a short session that loads the classes that ordinary operation uses. */
  private void train(Path dir, List<String> command) throws IOException, InterruptedException {
    services.start(dir, 1);
    List<String> commandLine = new ArrayList<>(command);
    commandLine.add(dir.resolve("node-0.toml").toString());
    Process process = new ProcessBuilder(commandLine).inheritIO().start();
    try {
      String node = services.nodes().get(0);
      await(() -> status(node, "/healthz") == 200);
      post(node, "/work", job("req-train-a", "array", 9));
      post(node, "/work", job("req-train-a", "array", 9));
      post(node, "/work", job("req-train-b", "service", 2));
      post(node, "/work", job("req-train-c", "ensemble", 2));
      post(node, "/work", "not a job".getBytes(StandardCharsets.UTF_8));
      status(node, "/work/req-train-x");
      await(() -> phase(node, "req-train-a").equals("done"));
      await(() -> phase(node, "req-train-c").equals("done"));
      post(node, "/work/req-train-b/abort", new byte[0]);
      LoopbackServices.pause(1500);
    } finally {
      process.destroy();
      if (!process.waitFor(30, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    }
  }

  private interface Condition {
    boolean holds() throws IOException;
  }

  private static void await(Condition condition) throws IOException {
    long deadlineMicros = LoopbackServices.now() + TRAINING_TIMEOUT_MICROS;
    while (!condition.holds()) {
      if (LoopbackServices.now() > deadlineMicros) {
        throw new IOException("the controller does not get there in 30 s");
      }
      LoopbackServices.pause(100);
    }
  }

  private int status(String node, String path) {
    try {
      return send(node, path, HttpRequest.BodyPublishers.noBody(), "GET").statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  private String phase(String node, String id) throws IOException {
    byte[] body = send(node, "/work/" + id, HttpRequest.BodyPublishers.noBody(), "GET").body();
    Map<String, Object> answer = Json.object(body);
    return String.valueOf(answer.get("phase"));
  }

  /** Writes a feature file per controller that turns on partial-cuts with a status listener. */
  private static void writeFeatureFiles(Path dir) throws IOException {
    for (int i = 0; i < CONTROLLERS; i++) {
      String listen = "127.0.0.1:" + (FIRST_STATUS_PORT + i);
      Files.writeString(
          dir.resolve("partial-cuts-" + i + ".toml"),
          "feature = \"partial-cuts\"\n[status]\nlisten = \"" + listen + "\"\n");
    }
  }

  /** Serves until the process is killed, or runs a controller to record its classes; see README. */
  public static void main(String[] args) throws Exception {
    StandInServer server = new StandInServer();
    Path dir = Path.of(args[0]);
    if (args.length > 2 && args[1].equals("train")) {
      server.train(dir, List.of(args).subList(2, args.length));
      System.exit(0);
    }
    try {
      server.services.start(dir, CONTROLLERS);
      writeFeatureFiles(dir);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    System.out.println("settings in " + dir + "; controllers at " + server.services.nodes());
    Thread.currentThread().join();
  }
}
