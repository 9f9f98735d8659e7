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

/** A worker behind a real socket with at most one heartbeat in flight, to one controller. */
final class LoopbackWorker {
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
  private static final long RETRY_MICROS = 1_000_000;
  private static final long MIN_LATE_MICROS = 2_000_000;
  private static final long MAX_LATE_MICROS = 8_000_000;
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
  private long cutUntilMicros;
  private long responsesLostUntilMicros;
  private long repeatsUntilMicros;
  private long commandsLateUntilMicros;

  /** Commands that arrived while it was frozen. */
  private final List<Map<String, Object>> heldCommands = new ArrayList<>();

  LoopbackWorker(
      LoopbackServices services,
      FakeCloud.Machine machine,
      Optional<History> history,
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
    long now = LoopbackServices.now();
    if (stopped) {
      return;
    }
    if (now < frozenUntilMicros) {
      if (worker.isLeaseExpired(now)) {
        worker.advance(now);
      }
      return;
    }
    worker.advance(now);
    heldCommands.forEach(worker::executeCommands);
    heldCommands.clear();
  }

  /** Freezes the machine for a time; commands that arrive meanwhile are executed at the end. */
  synchronized void freezeFor(long micros) {
    frozenUntilMicros = LoopbackServices.now() + micros;
  }

  /** Nothing reaches the machine for a time, and nothing it sends arrives. */
  synchronized void cutFor(long micros) {
    cutUntilMicros = LoopbackServices.now() + micros;
  }

  /** Its heartbeats arrive for a time, answers and commands are lost. */
  synchronized void loseResponsesFor(long micros) {
    responsesLostUntilMicros = LoopbackServices.now() + micros;
  }

  /** For a time copies of its heartbeats arrive again seconds later, at any controller. */
  synchronized void repeatHeartbeatsFor(long micros) {
    repeatsUntilMicros = LoopbackServices.now() + micros;
  }

  /** For a time commands are held up on their way and carried out seconds later, unanswered. */
  synchronized void delayCommandsFor(long micros) {
    commandsLateUntilMicros = LoopbackServices.now() + micros;
  }

  private boolean isFrozen() {
    return LoopbackServices.now() < frozenUntilMicros;
  }

  private boolean receives() {
    long now = LoopbackServices.now();
    return now >= frozenUntilMicros && now >= cutUntilMicros && now >= responsesLostUntilMicros;
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
      throw new IOException("no answer");
    }
    if (command && LoopbackServices.now() < commandsLateUntilMicros) {
      services.later(lateMicros(), () -> executeLate(body));
      throw new IOException("the command is late");
    }
    worker.advance(LoopbackServices.now());
    return uri.equals("/status")
        ? new ServiceResponse(200, worker.report())
        : worker.executeCommands(Json.object(body));
  }

  private synchronized void executeLate(byte[] body) {
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

  private static long lateMicros() {
    return ThreadLocalRandom.current().nextLong(MIN_LATE_MICROS, MAX_LATE_MICROS);
  }

  /** Sends a heartbeat if one is due and none is in flight. */
  synchronized void heartbeatIfDue(Executor threads) {
    long now = LoopbackServices.now();
    boolean silent = now < frozenUntilMicros || now < cutUntilMicros;
    if (stopped || inFlight || silent || now < nextHeartbeatMicros) {
      return;
    }
    inFlight = true;
    threads.execute(this::sendHeartbeat);
  }

  private void sendHeartbeat() {
    int to;
    long sent;
    long tenure;
    Map<String, Object> heartbeat;
    synchronized (this) {
      to = node;
      sent = LoopbackServices.now();
      worker.advance(sent);
      tenure = worker.incarnation();
      heartbeat = worker.report();
    }
    heartbeat.put("endpoint", services.workerAddress(to, address));
    byte[] body = Json.bytes(heartbeat);
    repeatLate(body);
    Optional<HttpResponse<byte[]>> reply = send(to, body);
    synchronized (this) {
      inFlight = false;
      nextHeartbeatMicros = sent + LoopbackServices.HEARTBEAT_MICROS;
      if (!stopped && !isFrozen()) {
        worker.advance(LoopbackServices.now());
        onResponse(to, receives() ? reply : Optional.empty(), sent, tenure);
      }
    }
  }

  private void repeatLate(byte[] body) {
    if (LoopbackServices.now() < repeatsUntilMicros) {
      int to = ThreadLocalRandom.current().nextInt(services.nodesForWorkers().size());
      services.later(lateMicros(), () -> send(to, body));
    }
  }

  private Optional<HttpResponse<byte[]>> send(int to, byte[] body) {
    URI uri = URI.create("http://" + services.nodesForWorkers().get(to) + "/hello");
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

  private void onResponse(int to, Optional<HttpResponse<byte[]>> reply, long sent, long tenure) {
    try {
      int status = reply.map(HttpResponse::statusCode).orElse(0);
      Map<String, Object> body = status == 0 ? Map.of() : Json.object(reply.get().body());
      String foreman = status == 421 ? Json.text(body, "foreman") : null;
      if (status == 200) {
        worker.handleResponse(body, sent, tenure);
      } else if (foreman != null && !foreman.equals("node-" + to)) {
        node = Integer.parseInt(foreman.substring("node-".length()));
        nextHeartbeatMicros = LoopbackServices.now();
      } else {
        nextNode(to);
      }
    } catch (IOException e) {
      nextNode(to);
    }
  }

  private void nextNode(int from) {
    List<String> all = services.nodesForWorkers();
    node = (from + 1) % all.size();
    nextHeartbeatMicros = LoopbackServices.now() + RETRY_MICROS;
  }
}
