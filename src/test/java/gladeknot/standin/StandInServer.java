package gladeknot.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import gladeknot.http.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The stand-ins behind real sockets on loopback: a state service, a cloud and its workers, and
 * settings files for controllers. {@code main DIR} runs until it is killed; {@code main DIR train
 * COMMAND...} starts one controller, plays a short session with it and ends it in order.
 */
public final class StandInServer {
  private static final long REPORT_MICROS = 500_000;
  private static final long LEASE_MICROS = 5_000_000;

  private final StateStandIn state = new StateStandIn();
  private final CloudStandIn cloud = new CloudStandIn(20, 1_000_000);
  private final TreeMap<String, WorkerStandIn> workers = new TreeMap<>();
  private final ExecutorService threads = Executors.newCachedThreadPool(StandInServer::daemon);
  private final HttpClient client =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).executor(threads).build();
  private final List<String> nodes = new ArrayList<>();
  private int cloudPort;

  private StandInServer() {}

  private static Thread daemon(Runnable run) {
    Thread thread = new Thread(run);
    thread.setDaemon(true);
    return thread;
  }

  private static long now() {
    return System.nanoTime() / 1000;
  }

  private interface Service {
    StateStandIn.Answer serve(String method, String uri, byte[] body) throws IOException;
  }

  private int listen(Service service) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    server.setExecutor(threads);
    server.createContext("/", exchange -> handle(exchange, service));
    server.start();
    return server.getAddress().getPort();
  }

  private void handle(HttpExchange exchange, Service service) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String uri = exchange.getRequestURI().toString();
    StateStandIn.Answer answer = service.serve(exchange.getRequestMethod(), uri, body);
    byte[] bytes = Json.bytes(answer.body());
    exchange.sendResponseHeaders(answer.status(), bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private StateStandIn.Answer serveState(String method, String uri, byte[] body)
      throws IOException {
    long until = now();
    if (uri.startsWith("/follow")) {
      until += Long.parseLong(StateStandIn.query(uri).get("waitMs")) * 1000;
    }
    while (true) {
      synchronized (this) {
        state.advance(now());
        boolean wait = uri.startsWith("/follow") && now() < until;
        if (!wait || state.changedSince(Long.parseLong(StateStandIn.query(uri).get("from")))) {
          return state.serve(method, uri, body);
        }
      }
      pause(5);
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized StateStandIn.Answer serveCloud(String method, String uri, byte[] body)
      throws IOException {
    if (uri.startsWith("/worker/")) {
      WorkerStandIn worker = workers.get(uri.split("/")[2]);
      return worker == null
          ? new StateStandIn.Answer(404, Json.of())
          : worker.orders(Json.object(body));
    }
    cloud.advance(now());
    return cloud.serve(method, uri, body);
  }

  private void runWorkers() {
    while (true) {
      List<WorkerStandIn> all;
      synchronized (this) {
        cloud.advance(now());
        List<CloudStandIn.Machine> up =
            cloud.machines().stream().filter(m -> m.upMicros <= now()).toList();
        workers.keySet().removeIf(id -> up.stream().noneMatch(m -> m.id.equals(id)));
        for (CloudStandIn.Machine m : up) {
          workers.computeIfAbsent(
              m.id,
              id ->
                  new WorkerStandIn(
                      m, "127.0.0.1:" + cloudPort, LEASE_MICROS, t -> 1_500_000, now()));
        }
        all = List.copyOf(workers.values());
      }
      for (WorkerStandIn worker : all) {
        threads.execute(() -> report(worker));
      }
      pause(REPORT_MICROS / 1000);
    }
  }

  private void report(WorkerStandIn worker) {
    for (String node : nodes) {
      byte[] body;
      long sent;
      long tenure;
      synchronized (this) {
        sent = now();
        worker.advance(sent);
        tenure = worker.tenure();
        body = Json.bytes(worker.report());
      }
      try {
        HttpResponse<byte[]> reply = post(node, "/hello", body);
        if (reply.statusCode() == 200) {
          synchronized (this) {
            worker.answered(Json.object(reply.body()), sent, tenure);
          }
          return;
        }
      } catch (IOException e) {
        continue;
      }
    }
  }

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

  private static int freePort() throws IOException {
    try (java.net.ServerSocket socket = new java.net.ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private void start(Path dir, int count) throws IOException {
    int statePort = listen(this::serveState);
    cloudPort = listen(this::serveCloud);
    int[] peer = new int[count];
    for (int i = 0; i < count; i++) {
      nodes.add("127.0.0.1:" + freePort());
      peer[i] = freePort();
    }
    Files.createDirectories(dir);
    for (int i = 0; i < count; i++) {
      StringBuilder text = new StringBuilder();
      text.append("node_name = \"node-" + i + "\"\ndomain = \"a\"\n");
      text.append("client_listen = \"" + nodes.get(i) + "\"\n");
      text.append("back = \"127.0.0.1:" + peer[i] + "\"\n");
      for (int j = 0; j < count; j++) {
        if (j != i) {
          text.append("[[members]]\nnode_name = \"node-" + j + "\"\ndomain = \"a\"\n");
          text.append("addr = \"127.0.0.1:" + peer[j] + "\"\n");
        }
      }
      text.append("[external]\ncloud = \"127.0.0.1:" + cloudPort + "\"\n");
      text.append("state = \"127.0.0.1:" + statePort + "\"\n");
      text.append(CLUSTER);
      Files.writeString(dir.resolve("node-" + i + ".toml"), text);
    }
    threads.execute(this::runWorkers);
  }

  private static final String CLUSTER =
      """
      [cluster]
      initial_size = 3
      zones = ["a", "b"]
      clock_error_ms = 100.0
      [[cluster.teams]]
      name = "dev"
      cpus = 8.0
      cpus_max = 40.0
      gpus = 0.0
      gpus_max = 0.0
      [[cluster.objectives]]
      kind = "wait"
      class = "web"
      within_s = 5.0
      share = 0.9
      [[cluster.objectives]]
      kind = "deadline"
      class = "batch"
      share = 0.9
      times = 1.0
      [cluster.workers]
      report_s = 0.5
      lease_s = 5.0
      gang_wait_s = 30.0
      gang_peer_s = 6.0
      cancel_s = 20.0
      [cluster.state]
      rps = 200.0
      write_rps = 80.0
      value_kb = 8.0
      txn_ops = 12
      [cluster.cloud]
      rps = 6.0
      list_lag_s = 5.0
      [cluster.machine_limits]
      max_connections = 500
      """;

  private static byte[] job(String id, String shape, int tasks) {
    return Json.bytes(
        Json.of(
            "id",
            id,
            "jobclass",
            "batch",
            "owner",
            "dev",
            "shape",
            shape,
            "rank",
            "normal",
            "strands",
            tasks,
            "cores",
            1.0,
            "accelerators",
            0.0,
            "memoryGb",
            1.0,
            "bundle",
            "img",
            "sizeGb",
            0.5,
            "hosttypes",
            null,
            "glade",
            null,
            "together",
            false,
            "scatter",
            shape.equals("service"),
            "loaners",
            shape.equals("array"),
            "guessS",
            1.5,
            "snapshotS",
            0.0,
            "flushS",
            0.0,
            "dueS",
            shape.equals("array") ? 60.0 : null));
  }

  /** Plays a short session, so that the classes of an ordinary day are all loaded. */
  private void train(Path dir, List<String> command) throws IOException, InterruptedException {
    start(dir, 1);
    List<String> line = new ArrayList<>(command);
    line.add(dir.resolve("node-0.toml").toString());
    Process process = new ProcessBuilder(line).inheritIO().start();
    try {
      String node = nodes.get(0);
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
      pause(1500);
    } finally {
      process.destroy();
      if (!process.waitFor(30, TimeUnit.SECONDS)) {
        process.destroyForcibly();
      }
    }
  }

  private interface Check {
    boolean holds() throws IOException;
  }

  private static void await(Check check) throws IOException {
    long until = now() + 30_000_000;
    while (!check.holds()) {
      if (now() > until) {
        throw new IOException("the controller does not get there in 30 s");
      }
      pause(100);
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

  /** Serves until it is ended, or trains a controller; see README. */
  public static void main(String[] args) throws Exception {
    StandInServer server = new StandInServer();
    Path dir = Path.of(args[0]);
    if (args.length > 2 && args[1].equals("train")) {
      server.train(dir, List.of(args).subList(2, args.length));
      System.exit(0);
    }
    try {
      server.start(dir, 3);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    System.out.println("settings in " + dir + "; controllers at " + server.nodes);
    Thread.currentThread().join();
  }
}
