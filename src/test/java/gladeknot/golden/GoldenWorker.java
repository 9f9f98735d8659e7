package gladeknot.golden;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.standin.ClusterSettings;
import gladeknot.standin.FakeCloud;
import gladeknot.standin.FakeWorker;
import gladeknot.standin.ServiceResponse;
import java.io.IOException;
import java.util.Map;

/** A worker that sends heartbeats on request and returns the exchanged messages as text. */
final class GoldenWorker {
  /** Run time of each task. */
  static final long RUN_MICROS = 6 * GoldenCluster.MICROS_PER_SECOND;

  private static final int OK = 200;

  private final GoldenCluster cluster;
  private final FakeWorker worker;

  /** Creates a machine's worker, which gets the direct calls of all controllers from now on. */
  GoldenWorker(GoldenCluster cluster, FakeCloud.Machine machine) {
    this.cluster = cluster;
    worker =
        new FakeWorker(
            machine,
            machine.id() + ":9",
            ClusterSettings.LEASE_MICROS,
            task -> RUN_MICROS,
            cluster.nowMicros());
    cluster.machineResponses = this::serveDirectCall;
  }

  /** Sends a heartbeat and applies the response; returns both as text. */
  String heartbeat(int node) {
    worker.advance(cluster.nowMicros());
    Map<String, Object> heartbeat = worker.heartbeat();
    long sentMicros = cluster.nowMicros();
    long incarnation = worker.incarnation();
    Outbox.Answer answer = cluster.request(node, "POST", "/hello", Json.bytes(heartbeat));
    if (answer.status() == OK) {
      worker.handleResponse(object(answer.body()), sentMicros, incarnation);
    }
    return CanonicalJson.of(heartbeat) + "\n" + GoldenCluster.text(answer);
  }

  /** Returns whether the machine has an attempt of a task that has not ended. */
  boolean runs(String task) {
    return worker.live().stream().anyMatch(attempt -> attempt.name().equals(task));
  }

  private ServiceResponse serveDirectCall(Outbox.Call call) {
    worker.advance(cluster.nowMicros());
    return call.path().equals("/status")
        ? new ServiceResponse(OK, worker.heartbeat())
        : worker.executeCommands(object(call.body()));
  }

  private static Map<String, Object> object(byte[] body) {
    try {
      return Json.object(body);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
