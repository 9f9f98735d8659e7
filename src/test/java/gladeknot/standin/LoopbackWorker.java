package gladeknot.standin;

import gladeknot.json.Json;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;

/** A worker behind a real socket that has at most one heartbeat in flight, to one controller. */
final class LoopbackWorker {
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
  private static final long RETRY_INTERVAL_MICROS = 1_000_000;
  private static final long MIN_DELAY_MICROS = 2_000_000;
  private static final long MAX_DELAY_MICROS = 8_000_000;
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  private final LoopbackServices services;
  private final FakeWorker worker;
  private final String address;
  private int node;
  private boolean inFlight;
  private boolean stopped;
  private long nextHeartbeatMicros;
  private long frozenUntilMicros;
  private long disconnectedUntilMicros;
  private long responsesLostUntilMicros;
  private long heartbeatsRepeatedUntilMicros;
  private long commandsDelayedUntilMicros;

  /** Commands that arrived while the machine was frozen. */
  private final List<Map<String, Object>> heldCommands = new ArrayList<>();

  LoopbackWorker(
      LoopbackServices services,
      FakeCloud.Machine machine,
      Optional<History> history,
      ResourceUse capacity,
      long taskMicros)
      throws IOException {
    this.services = services;
    this.address = services.listen(this::serve);
    this.worker =
        new FakeWorker(
            machine,
            address,
            LoopbackServices.LEASE_MICROS,
            task -> task.startsWith("req-web") ? Long.MAX_VALUE / 4 : taskMicros,
            capacity,
            task -> history.map(observer -> observer.useOfTask(task)).orElse(ResourceUse.NONE),
            LoopbackServices.now());
    history.ifPresent(observer -> worker.setTaskListener(listener(observer)));
    node = Math.floorMod(machine.id().hashCode(), services.nodesForWorkers().size());
  }

  private static FakeWorker.TaskListener listener(History history) {
    return new FakeWorker.TaskListener() {
      @Override
      public void started(String host, String task, long number, long micros) {
        history.started(host, task, number, micros);
      }

      @Override
      public void ended(String host, String task, long number, boolean done, long micros) {
        history.ended(host, task, number, done, micros);
      }
    };
  }

  String host() {
    return worker.host();
  }

  String zone() {
    return worker.zone();
  }

  synchronized void advance() {
    long nowMicros = LoopbackServices.now();
    if (stopped) {
      return;
    }
    if (nowMicros < frozenUntilMicros) {
      if (worker.isLeaseExpired(nowMicros)) {
        worker.advance(nowMicros);
      }
      return;
    }
    worker.advance(nowMicros);
    heldCommands.forEach(worker::executeCommands);
    heldCommands.clear();
  }

  /** Freezes the machine for a time; commands that arrive meanwhile are executed afterwards. */
  synchronized void freezeFor(long micros) {
    frozenUntilMicros = LoopbackServices.now() + micros;
  }

  /** Disconnects the machine in both directions for a time. */
  synchronized void cutFor(long micros) {
    disconnectedUntilMicros = LoopbackServices.now() + micros;
  }

  /** Drops responses and commands to the machine for a time; its heartbeats still arrive. */
  synchronized void loseResponsesFor(long micros) {
    responsesLostUntilMicros = LoopbackServices.now() + micros;
  }

  /** Repeats the machine's heartbeats for a time, seconds later and to random controllers. */
  synchronized void repeatHeartbeatsFor(long micros) {
    heartbeatsRepeatedUntilMicros = LoopbackServices.now() + micros;
  }

  /** Delays commands to the machine by seconds for a time; they get no response. */
  synchronized void delayCommandsFor(long micros) {
    commandsDelayedUntilMicros = LoopbackServices.now() + micros;
  }

  private boolean isFrozen() {
    return LoopbackServices.now() < frozenUntilMicros;
  }

  private boolean receives() {
    long nowMicros = LoopbackServices.now();
    return nowMicros >= frozenUntilMicros
        && nowMicros >= disconnectedUntilMicros
        && nowMicros >= responsesLostUntilMicros;
  }

  /** Powers the machine off with all its tasks. */
  synchronized void shutDown() {
    stopped = true;
    worker.endAllAttempts(LoopbackServices.now());
  }

  private synchronized ServiceResponse serve(String method, String uri, byte[] body)
      throws IOException {
    if (stopped) {
      throw new IOException("the machine is off");
    }
    boolean command = uri.equals("/orders");
    if (isFrozen() && command) {
      heldCommands.add(Json.object(body));
    }
    if (!receives()) {
      throw new IOException("the machine can't receive now");
    }
    if (command && LoopbackServices.now() < commandsDelayedUntilMicros) {
      services.runAfter(randomDelayMicros(), () -> executeDelayed(body));
      throw new IOException("the command is delayed, it gets no response");
    }
    worker.advance(LoopbackServices.now());
    return uri.equals("/status")
        ? new ServiceResponse(200, worker.heartbeat())
        : worker.executeCommands(Json.object(body));
  }

  private synchronized void executeDelayed(byte[] body) {
    if (stopped || isFrozen()) {
      return;
    }
    worker.advance(LoopbackServices.now());
    try {
      worker.executeCommands(Json.object(body));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static long randomDelayMicros() {
    return ThreadLocalRandom.current().nextLong(MIN_DELAY_MICROS, MAX_DELAY_MICROS);
  }

  /** Sends a heartbeat if one is due and none is in flight. */
  synchronized void heartbeatIfDue(Executor threads) {
    long nowMicros = LoopbackServices.now();
    boolean silent = nowMicros < frozenUntilMicros || nowMicros < disconnectedUntilMicros;
    if (stopped || inFlight || silent || nowMicros < nextHeartbeatMicros) {
      return;
    }
    inFlight = true;
    threads.execute(this::sendHeartbeat);
  }

  private void sendHeartbeat() {
    int target;
    long sentMicros;
    long incarnation;
    Map<String, Object> heartbeat;
    synchronized (this) {
      target = node;
      sentMicros = LoopbackServices.now();
      worker.advance(sentMicros);
      incarnation = worker.incarnation();
      heartbeat = worker.heartbeat();
    }
    heartbeat.put("endpoint", services.workerAddress(target, address));
    byte[] body = Json.bytes(heartbeat);
    repeatAfterDelay(body);
    Optional<HttpResponse<byte[]>> response = send(target, body);
    synchronized (this) {
      inFlight = false;
      nextHeartbeatMicros = sentMicros + LoopbackServices.HEARTBEAT_MICROS;
      if (!stopped && !isFrozen()) {
        worker.advance(LoopbackServices.now());
        onResponse(target, receives() ? response : Optional.empty(), sentMicros, incarnation);
      }
    }
  }

  private void repeatAfterDelay(byte[] body) {
    if (LoopbackServices.now() < heartbeatsRepeatedUntilMicros) {
      int target = ThreadLocalRandom.current().nextInt(services.nodesForWorkers().size());
      services.runAfter(randomDelayMicros(), () -> send(target, body));
    }
  }

  private Optional<HttpResponse<byte[]>> send(int target, byte[] body) {
    URI uri = URI.create("http://" + services.nodesForWorkers().get(target) + "/hello");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .timeout(RESPONSE_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      return Optional.of(CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private void onResponse(
      int target, Optional<HttpResponse<byte[]>> response, long sentMicros, long incarnation) {
    try {
      int status = response.map(HttpResponse::statusCode).orElse(0);
      Map<String, Object> body = status == 0 ? Map.of() : Json.object(response.get().body());
      String owner = status == 421 ? Json.text(body, "foreman") : null;
      if (status == 200) {
        worker.handleResponse(body, sentMicros, incarnation);
      } else if (owner != null && !owner.equals("node-" + target)) {
        node = Integer.parseInt(owner.substring("node-".length()));
        nextHeartbeatMicros = LoopbackServices.now();
      } else {
        nextNode(target);
      }
    } catch (IOException e) {
      nextNode(target);
    }
  }

  private void nextNode(int from) {
    List<String> all = services.nodesForWorkers();
    node = (from + 1) % all.size();
    nextHeartbeatMicros = LoopbackServices.now() + RETRY_INTERVAL_MICROS;
  }
}
