package gladeknot.standin;

import gladeknot.json.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;

/** A worker behind a real socket with at most one heartbeat in flight, to one controller. */
final class LoopbackWorker {
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);
  private static final long RETRY_MICROS = 1_000_000;
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

  private final LoopbackServices services;
  private final FakeWorker worker;
  private final String address;
  private int node;
  private boolean inFlight;
  private boolean stopped;
  private long nextHeartbeatMicros;

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

  synchronized void advance() {
    if (!stopped) {
      worker.advance(LoopbackServices.now());
    }
  }

  /** Powers the machine off with all its tasks. */
  synchronized void shutDown() {
    stopped = true;
    worker.abandon(LoopbackServices.now());
  }

  private synchronized ServiceResponse serve(String method, String uri, byte[] body)
      throws IOException {
    if (stopped) {
      throw new IOException("the machine is off");
    }
    worker.advance(LoopbackServices.now());
    return uri.equals("/status")
        ? new ServiceResponse(200, worker.report())
        : worker.orders(Json.object(body));
  }

  /** Sends a heartbeat if one is due and none is in flight. */
  synchronized void heartbeatIfDue(Executor threads) {
    if (stopped || inFlight || LoopbackServices.now() < nextHeartbeatMicros) {
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
      tenure = worker.tenure();
      heartbeat = worker.report();
    }
    heartbeat.put("endpoint", services.workerAddress(to, address));
    Optional<HttpResponse<byte[]>> reply = send(to, Json.bytes(heartbeat));
    synchronized (this) {
      inFlight = false;
      nextHeartbeatMicros = sent + LoopbackServices.HEARTBEAT_MICROS;
      if (!stopped) {
        onResponse(to, reply, sent, tenure);
      }
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
        worker.answered(body, sent, tenure);
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
