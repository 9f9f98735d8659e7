package gladeknot.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import gladeknot.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Fake state service, cloud and workers behind real sockets on loopback, and the settings files of
 * controllers that use them. Every link has a name, so that a proxy can be inserted.
 */
public final class LoopbackServices {
  /** Interval between a worker's heartbeats. */
  public static final long HEARTBEAT_MICROS = 500_000;

  /** Duration of workers' leases. */
  public static final long LEASE_MICROS = 5_000_000;

  /** Time after a cancellation within which the job's tasks have to end. */
  public static final long CANCEL_MICROS = 20_000_000;

  private static final long BOOT_MICROS = 1_000_000;

  /** Lowest port of controllers. The range ends below the ports of outgoing connections. */
  private static final int FIRST_PORT = 12_000;

  private static final int LAST_PORT = 32_000;
  private static final int PORT_ATTEMPTS = 100;

  /** Time between the end of a watch's requested wait and the caller's own timeout. */
  private static final long WATCH_MARGIN_MICROS = 4_000_000;

  /** Resolves the address by which the client of a link reaches its target. */
  public interface Links {
    /** Connects every link directly to its target. */
    Links DIRECT = (link, target) -> target;

    /** Returns the address to use on a link for a target. */
    String address(String link, String target);
  }

  private final FakeStateStore state = new FakeStateStore();
  private final StateServiceFaults stateFaults = new StateServiceFaults();
  private final FakeCloud cloud;
  private final TreeMap<String, LoopbackWorker> workers = new TreeMap<>();
  private final ExecutorService threads = Executors.newCachedThreadPool(LoopbackServices::daemon);
  private final Links links;
  private final Optional<History> history;
  private final LoopbackScale scale;
  private final List<String> nodes = new ArrayList<>();
  private final List<String> nodesForWorkers = new ArrayList<>();
  private final Map<String, String> workerAddresses = new ConcurrentHashMap<>();
  private Optional<StateRateLimits> stateLimits = Optional.empty();
  private long stateCalls;
  private volatile boolean stopped;
  private boolean inOutage;
  private long stateAdvancedMicros;

  /** Creates services of the given scale; nothing listens before {@link #start}. */
  public LoopbackServices(Links links, Optional<History> history, LoopbackScale scale) {
    this.links = links;
    this.history = history;
    this.scale = scale;
    this.cloud = new FakeCloud(scale.machines(), scale.machineGpus(), BOOT_MICROS);
    state.limitValueBytes(scale.valueBytes());
    history.ifPresent(observer -> state.addChangeListener(observer));
  }

  private static Thread daemon(Runnable run) {
    Thread thread = new Thread(run);
    thread.setDaemon(true);
    return thread;
  }

  static long now() {
    return System.nanoTime() / 1000;
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Runs an action after a delay, unless the services have been stopped by then. */
  void runAfter(long delayMicros, Runnable action) {
    threads.execute(
        () -> {
          pause(delayMicros / 1000);
          if (!stopped) {
            action.run();
          }
        });
  }

  /** Handles one request. */
  interface Service {
    ServiceResponse serve(String method, String uri, byte[] body) throws IOException;
  }

  /** Listens on a free loopback port; returns the address. */
  String listen(Service service) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    server.setExecutor(threads);
    server.createContext("/", exchange -> handle(exchange, service));
    server.start();
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static void handle(HttpExchange exchange, Service service) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String uri = exchange.getRequestURI().toString();
    try {
      ServiceResponse answer = service.serve(exchange.getRequestMethod(), uri, body);
      byte[] bytes = Json.bytes(answer.body());
      exchange.sendResponseHeaders(answer.status(), bytes.length);
      exchange.getResponseBody().write(bytes);
    } finally {
      exchange.close();
    }
  }

  private ServiceResponse serveState(int node, String method, String uri, byte[] body)
      throws IOException {
    if (!admitsStateCall(uri, body)) {
      return StateRateLimits.refusal();
    }
    if (uri.startsWith("/follow")) {
      return serveWatch(node, method, uri, body);
    }
    if (stateFaults.refuses(node)) {
      return new ServiceResponse(503, Json.of());
    }
    pause(stateFaults.slowMillis());
    if (uri.equals("/commit")) {
      return serveTransaction(method, uri, body);
    }
    return serveStateCall(method, uri, body);
  }

  private synchronized boolean admitsStateCall(String uri, byte[] body) {
    stateCalls++;
    return stateLimits.isEmpty() || stateLimits.get().admits(uri, body, now());
  }

  private synchronized ServiceResponse serveStateCall(String method, String uri, byte[] body)
      throws IOException {
    advanceState();
    return state.serve(method, uri, body);
  }

  /** Advances the state service's clock. After an outage every lease gets its full time again. */
  private void advanceState() {
    if (stateFaults.hasOutage()) {
      inOutage = true;
      return;
    }
    state.advance(inOutage ? stateAdvancedMicros : now());
    if (inOutage) {
      inOutage = false;
      state.setTime(now());
      state.renewAll();
    }
    stateAdvancedMicros = now();
  }

  private ServiceResponse serveTransaction(String method, String uri, byte[] body)
      throws IOException {
    switch (stateFaults.nextTransactionHandling()) {
      case THROTTLED -> {
        return new ServiceResponse(429, Json.of());
      }
      case CARRIED_OUT_UNANSWERED -> {
        serveStateCall(method, uri, body);
        throw new IOException("the transaction is committed, its response is dropped");
      }
      case CARRIED_OUT_LATE -> {
        long delayMillis = stateFaults.lateMillis();
        runAfter(delayMillis * 1000, () -> commitAfterDelay(method, uri, body));
        throw new IOException("the transaction is delayed, it gets no response");
      }
      default -> {
        return serveStateCall(method, uri, body);
      }
    }
  }

  private void commitAfterDelay(String method, String uri, byte[] body) {
    try {
      serveStateCall(method, uri, body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Answers a watch after the injected delay. The response holds the changes up to the time before
   * the delay.
   */
  private ServiceResponse serveWatch(int node, String method, String uri, byte[] body)
      throws IOException {
    ServiceResponse response = awaitChange(node, method, uri, body);
    pause(stateFaults.watchDelayMillis(node));
    return response;
  }

  /** Waits for a change or the end of the watch. An open watch stays open through an outage. */
  private ServiceResponse awaitChange(int node, String method, String uri, byte[] body)
      throws IOException {
    long endMicros = now() + Long.parseLong(FakeStateStore.query(uri).get("waitMs")) * 1000;
    long from = Long.parseLong(FakeStateStore.query(uri).get("from"));
    while (true) {
      if (!stateFaults.refuses(node)) {
        synchronized (this) {
          advanceState();
          if (now() >= endMicros || state.changedSince(from)) {
            return state.serve(method, uri, body);
          }
        }
      } else if (now() >= endMicros + WATCH_MARGIN_MICROS) {
        throw new IOException(
            "the state service refuses this controller, the watch gets no response");
      }
      pause(5);
    }
  }

  private synchronized ServiceResponse serveCloud(String method, String uri, byte[] body)
      throws IOException {
    cloud.advance(now());
    return cloud.serve(method, uri, body);
  }

  private void runWorkers() {
    while (!stopped) {
      List<LoopbackWorker> all;
      synchronized (this) {
        cloud.advance(now());
        List<FakeCloud.Machine> up =
            cloud.machines().stream().filter(machine -> machine.upMicros() <= now()).toList();
        for (LoopbackWorker worker : List.copyOf(workers.values())) {
          if (up.stream().noneMatch(machine -> machine.id().equals(worker.host()))) {
            workers.remove(worker.host()).shutDown();
          }
        }
        for (FakeCloud.Machine machine : up) {
          workers.computeIfAbsent(machine.id(), id -> boot(machine));
        }
        all = List.copyOf(workers.values());
        all.forEach(LoopbackWorker::advance);
      }
      for (LoopbackWorker worker : all) {
        worker.heartbeatIfDue(threads);
      }
      pause(20);
    }
  }

  private LoopbackWorker boot(FakeCloud.Machine machine) {
    try {
      return new LoopbackWorker(
          this, machine, history, cloud.capacity(machine.type()), scale.taskMicros());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Makes the state service refuse calls above the rates of the scale from now on. */
  synchronized void enforceStateLimits() {
    stateLimits = Optional.of(new StateRateLimits(scale.stateRps(), scale.writeRps()));
  }

  /** Returns the number of calls to the state service so far. */
  synchronized long stateCalls() {
    return stateCalls;
  }

  /** Returns the number of calls to the state service that were refused because of its rates. */
  synchronized long refusedStateCalls() {
    return stateLimits.map(StateRateLimits::refused).orElse(0L);
  }

  /** Stores a key before any controller runs. */
  public synchronized void presetState(String key, Map<String, Object> data) {
    state.preset(key, data);
  }

  /** Returns the faults of the state service. */
  public StateServiceFaults stateFaults() {
    return stateFaults;
  }

  /** Returns the workers of machines that are up, ordered by host. */
  synchronized List<LoopbackWorker> workers() {
    return List.copyOf(workers.values());
  }

  /** Returns the addresses by which workers reach the controllers. */
  List<String> nodesForWorkers() {
    return nodesForWorkers;
  }

  /** Returns the address by which a controller reaches a worker. */
  String workerAddress(int node, String address) {
    // Cached, since every heartbeat asks for the address and each new proxy takes a port.
    return workerAddresses.computeIfAbsent(
        node + ">" + address, link -> links.address("node-" + node + ">workers", address));
  }

  /** Returns the addresses by which users reach the controllers. */
  public List<String> nodes() {
    return List.copyOf(nodes);
  }

  /** Returns the value of a key of the state service; null if the key is absent. */
  public synchronized Map<String, Object> stateOf(String key) {
    return state.get(key);
  }

  /** Stops the workers. The listeners stay open until the process ends. */
  public void stop() {
    stopped = true;
  }

  /**
   * Returns a free loopback port that the system does not assign to outgoing connections. The port
   * has to stay free, since the controller that listens on it starts later and may be restarted.
   */
  static int freePort() throws IOException {
    for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      try (ServerSocket socket = new ServerSocket(port)) {
        return socket.getLocalPort();
      } catch (BindException e) {
        // The port is in use: try another one.
      }
    }
    throw new IOException("no free port");
  }

  /** Starts the services and writes settings for {@code count} controllers into {@code dir}. */
  public void start(Path dir, int count) throws IOException {
    String cloudAddress = listen(this::serveCloud);
    List<String> peers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      nodes.add("127.0.0.1:" + freePort());
      nodesForWorkers.add(links.address("workers>node-" + i, nodes.get(i)));
      peers.add("127.0.0.1:" + freePort());
    }
    Files.createDirectories(dir);
    LoopbackSettings settings = new LoopbackSettings(links, scale, nodes, peers, cloudAddress);
    for (int i = 0; i < count; i++) {
      int caller = i;
      String state = listen((method, uri, body) -> serveState(caller, method, uri, body));
      settings.write(dir, i, state);
    }
    threads.execute(this::runWorkers);
  }
}
