package gladeknot.golden;

import gladeknot.app.Controller;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.policy.Policy;
import gladeknot.settings.Features;
import gladeknot.standin.ClusterScale;
import gladeknot.standin.ClusterSettings;
import gladeknot.standin.FakeCloud;
import gladeknot.standin.FakeStateStore;
import gladeknot.standin.ServiceResponse;
import gladeknot.standin.SimulatedCluster;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * Runs whole controllers against a fake state service and a fake cloud that answer after fixed
 * times, and keeps every call and message that the controllers send. The wall clock stands still
 * unless a test moves it.
 */
final class GoldenCluster {
  static final long MICROS_PER_SECOND = SimulatedCluster.MICROS_PER_SECOND;

  /** Value limit of 8 KiB that does not change: segments of the first layout are not split. */
  static final ClusterScale FIRST_LAYOUT = new ClusterScale(1, 24_000, 300, 150, 8192);

  /** Value limit that falls to a quarter: segments are split into four, attempts may be compact. */
  static final ClusterScale SPLIT_LAYOUT = new ClusterScale(1, 24_000, 300, 150, 8192, 2048, 16);

  private static final long STEP_MICROS = 10_000;
  private static final long WATCH_TIMEOUT_MICROS = 8 * MICROS_PER_SECOND;
  private static final long ANSWER_TIMEOUT_MICROS = 6 * MICROS_PER_SECOND;
  private static final long BOOT_MICROS = 3 * MICROS_PER_SECOND;
  private static final long INITIAL_WALL_CLOCK_MICROS = 1_700_000_000_000_000L;
  private static final ServiceResponse NO_RESPONSE = null;

  /** A call of one controller. */
  record SentCall(int node, Outbox.Call call) {
    /** Returns the call as text, with revisions masked in the path and in conditions. */
    String text() {
      String path = call.path().replaceFirst("([?&]from=)[0-9]+", "$1REVISION");
      String body = call.body().length == 0 ? "" : "\n" + CanonicalJson.of(call.body());
      return call.method() + " " + path + " to " + call.address() + body;
    }
  }

  private record OpenCall(int node, Controller controller, Outbox.Call call, long sinceMicros) {}

  final FakeStateStore state = new FakeStateStore();
  final FakeCloud cloud;
  final List<SentCall> calls = new ArrayList<>();
  final List<PeerMessage> messages = new ArrayList<>();

  /** Responses of machines to direct calls; none by default. */
  Function<Outbox.Call, ServiceResponse> machineResponses = call -> NO_RESPONSE;

  long wallClockMicros = INITIAL_WALL_CLOCK_MICROS;

  private final int memberCount;
  private final ClusterScale scale;
  private final Map<Integer, Controller> controllers = new LinkedHashMap<>();
  private final Map<Long, Outbox.Answer> answers = new HashMap<>();
  private List<OpenCall> openCalls = new ArrayList<>();
  private long nowMicros = 100 * MICROS_PER_SECOND;
  private long nextRequest = 1;

  /** Creates a cluster with the given number of members, none of them started. */
  GoldenCluster(int memberCount, ClusterScale scale) {
    this.memberCount = memberCount;
    this.scale = scale;
    state.limitValueBytes(scale.valueBytes());
    cloud = new FakeCloud(scale.machines(), BOOT_MICROS);
  }

  /** Stores records before any controller starts, as if an earlier cluster had left them. */
  void preload(Map<String, Object> records) {
    records.forEach(
        (key, data) -> {
          Map<String, Object> write = Json.of("write", key, "data", data);
          Map<String, Object> body = Json.of("if", List.of(), "writes", List.of(write));
          ServiceResponse response = serveState("POST", "/commit", Json.bytes(body));
          if (response.status() != 200) {
            throw new IllegalStateException(key + ": " + response);
          }
        });
  }

  /** Starts controllers without features; they have no local state. */
  GoldenCluster start(int... nodes) {
    return start(Features.NONE, nodes);
  }

  /** Starts controllers with features. */
  GoldenCluster start(Features features, int... nodes) {
    for (int node : nodes) {
      controllers.put(
          node,
          new Controller(
              ClusterSettings.of(node, memberCount, scale),
              features,
              Policy.of(""),
              new SplittableRandom(node)));
    }
    return this;
  }

  /** Stops a controller; it sends nothing more. */
  void stop(int node) {
    controllers.remove(node);
  }

  Controller controller(int node) {
    return controllers.get(node);
  }

  long nowMicros() {
    return nowMicros;
  }

  /** Advances the simulated time. */
  GoldenCluster run(long micros) {
    for (long until = nowMicros + micros; nowMicros < until; ) {
      step();
    }
    return this;
  }

  /** Advances the simulated time until a condition holds; fails after the timeout. */
  void await(String description, long timeoutMicros, BooleanSupplier condition) {
    for (long until = nowMicros + timeoutMicros; !condition.getAsBoolean(); ) {
      if (nowMicros >= until) {
        throw new AssertionError(
            "timeout after " + timeoutMicros / MICROS_PER_SECOND + " s: " + description);
      }
      step();
    }
  }

  /** Sends a request and waits for its answer. */
  Outbox.Answer request(int node, String method, String path, byte[] body) {
    long id = send(node, method, path, body);
    await(
        "an answer to " + method + " " + path,
        ANSWER_TIMEOUT_MICROS,
        () -> answers.containsKey(id));
    return answers.get(id);
  }

  /** Sends a request and returns its number, by which {@link #answer} finds the answer. */
  long send(int node, String method, String path, byte[] body) {
    long id = nextRequest++;
    controllers.get(node).onRequest(id, method, path, body);
    return id;
  }

  /** Returns the answer to a request; null if there is none yet. */
  Outbox.Answer answer(long request) {
    return answers.get(request);
  }

  /** Sends a request, waits for its answer and returns it as text. */
  String responseText(int node, String method, String path, Object body) {
    byte[] bytes = body == null ? new byte[0] : Json.bytes(body);
    return text(request(node, method, path, bytes));
  }

  /** Returns an answer as text. */
  static String text(Outbox.Answer answer) {
    String retryAfter =
        answer.retryAfterSeconds() == 0 ? "" : " Retry-After: " + answer.retryAfterSeconds();
    return answer.status() + retryAfter + " " + CanonicalJson.of(answer.body());
  }

  /** Returns the stored records whose keys have a prefix, one line each. */
  String stored(String prefix) {
    List<String> lines = new ArrayList<>();
    for (String key : state.keys(prefix)) {
      lines.add(key + " " + CanonicalJson.of(state.get(key)));
    }
    return String.join("\n", lines);
  }

  private void step() {
    nowMicros += STEP_MICROS;
    state.advance(nowMicros);
    cloud.advance(nowMicros);
    List<OpenCall> before = openCalls;
    openCalls = new ArrayList<>();
    before.forEach(this::serve);
    List.copyOf(controllers.keySet())
        .forEach(
            node -> {
              controllers.get(node).tick(nowMicros, wallClockMicros);
              drain(node);
            });
  }

  private void drain(int node) {
    Controller controller = controllers.get(node);
    for (Outbox.Call call : controller.outbox().drainCalls()) {
      calls.add(new SentCall(node, call));
      openCalls.add(new OpenCall(node, controller, call, nowMicros));
    }
    for (PeerMessage message : controller.outbox().drainPeerMessages()) {
      messages.add(message);
      controllers.values().stream()
          .filter(other -> other != controller)
          .forEach(other -> other.onPeerMessage(message));
    }
    controller.outbox().drainAnswers().forEach(answer -> answers.put(answer.request(), answer));
  }

  private void serve(OpenCall openCall) {
    if (controllers.get(openCall.node()) != openCall.controller()) {
      return;
    }
    Outbox.Call call = openCall.call();
    boolean isWatch = call.path().startsWith("/follow");
    if (isWatch && !watchEnds(openCall)) {
      openCalls.add(openCall);
      return;
    }
    ServiceResponse response = serve(call);
    Outbox.Reply reply =
        response == NO_RESPONSE
            ? new Outbox.Reply(0, new byte[0])
            : new Outbox.Reply(response.status(), Json.bytes(response.body()));
    openCall.controller().tick(nowMicros, wallClockMicros);
    openCall.controller().outbox().reply(call.id(), reply);
    drain(openCall.node());
  }

  private boolean watchEnds(OpenCall openCall) {
    String from = openCall.call().path().replaceFirst(".*[?&]from=([0-9]+).*", "$1");
    return state.changedSince(Long.parseLong(from))
        || nowMicros - openCall.sinceMicros() > WATCH_TIMEOUT_MICROS;
  }

  private ServiceResponse serve(Outbox.Call call) {
    if (call.address().startsWith("state")) {
      return serveState(call.method(), call.path(), call.body());
    }
    if (!call.address().startsWith("cloud")) {
      return machineResponses.apply(call);
    }
    try {
      return cloud.serve(call.method(), call.path(), call.body());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private ServiceResponse serveState(String method, String path, byte[] body) {
    try {
      return state.serve(method, path, body);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
