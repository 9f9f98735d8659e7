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
 * Whole controllers on a state service and a cloud that answer after fixed times, with all that
 * they send kept. The wall clock is fixed unless a test moves it.
 */
final class GoldenCluster {
  static final long SECOND = SimulatedCluster.SECOND;

  /** Values of 8 KiB, now and later: the first version's parts are not split. */
  static final ClusterScale FIRST_LAYOUT = new ClusterScale(1, 24_000, 300, 150, 8192);

  /** Values fall to a quarter: each part is split into four, and attempts may be compact. */
  static final ClusterScale SPLIT_LAYOUT = new ClusterScale(1, 24_000, 300, 150, 8192, 2048, 16);

  private static final long STEP = 10_000;
  private static final long WATCH = 8 * SECOND;
  private static final long LONGEST_ANSWER = 6 * SECOND;
  private static final long BOOT = 3 * SECOND;
  private static final long DAY_TIME = 1_700_000_000_000_000L;
  private static final ServiceResponse NONE = null;

  /** A call of one controller. */
  record Sent(int node, Outbox.Call call) {
    /** The call as one text, without what counts calls and transactions. */
    String text() {
      String path = call.path().replaceFirst("([?&]from=)[0-9]+", "$1REVISION");
      String body = call.body().length == 0 ? "" : "\n" + CanonicalJson.of(call.body());
      return call.method() + " " + path + " to " + call.address() + body;
    }
  }

  private record Open(int node, Controller core, Outbox.Call call, long sinceMicros) {}

  final FakeStateStore state = new FakeStateStore();
  final FakeCloud cloud;
  final List<Sent> calls = new ArrayList<>();
  final List<PeerMessage> messages = new ArrayList<>();

  /** What machines answer to direct calls; nothing by default. */
  Function<Outbox.Call, ServiceResponse> machines = call -> NONE;

  long dayTimeMicros = DAY_TIME;

  private final int members;
  private final ClusterScale scale;
  private final Map<Integer, Controller> cores = new LinkedHashMap<>();
  private final Map<Long, Outbox.Answer> answers = new HashMap<>();
  private List<Open> open = new ArrayList<>();
  private long nowMicros = 100 * SECOND;
  private long nextRequest = 1;

  /** So many members, none of them started. */
  GoldenCluster(int members, ClusterScale scale) {
    this.members = members;
    this.scale = scale;
    state.limitValueBytes(scale.valueBytes());
    cloud = new FakeCloud(scale.machines(), BOOT);
  }

  /** Stores records as an earlier life of the cluster left them. */
  void preload(Map<String, Object> records) {
    records.forEach(
        (key, data) -> {
          Map<String, Object> write = Json.of("write", key, "data", data);
          Map<String, Object> body = Json.of("if", List.of(), "writes", List.of(write));
          ServiceResponse answer = serveState("POST", "/commit", Json.bytes(body));
          if (answer.status() != 200) {
            throw new IllegalStateException(key + ": " + answer);
          }
        });
  }

  /** Starts controllers that know nothing. */
  GoldenCluster start(int... nodes) {
    return start(Features.NONE, nodes);
  }

  /** Starts controllers with features. */
  GoldenCluster start(Features features, int... nodes) {
    for (int node : nodes) {
      cores.put(
          node,
          new Controller(
              ClusterSettings.of(node, members, scale),
              features,
              Policy.of(""),
              new SplittableRandom(node)));
    }
    return this;
  }

  /** Ends a controller. */
  void stop(int node) {
    cores.remove(node);
  }

  Controller core(int node) {
    return cores.get(node);
  }

  long nowMicros() {
    return nowMicros;
  }

  /** Lets time pass. */
  GoldenCluster run(long micros) {
    for (long until = nowMicros + micros; nowMicros < until; ) {
      step();
    }
    return this;
  }

  /** Lets time pass until something holds; fails if it takes too long. */
  void await(String what, long mostMicros, BooleanSupplier holds) {
    for (long until = nowMicros + mostMicros; !holds.getAsBoolean(); ) {
      if (nowMicros >= until) {
        throw new AssertionError("in " + mostMicros / SECOND + " s not: " + what);
      }
      step();
    }
  }

  /** Sends a request and waits for its answer. */
  Outbox.Answer ask(int node, String method, String path, byte[] body) {
    long id = send(node, method, path, body);
    await("an answer to " + method + " " + path, LONGEST_ANSWER, () -> answers.containsKey(id));
    return answers.get(id);
  }

  /** Sends a request; its answer is taken by the number that is returned. */
  long send(int node, String method, String path, byte[] body) {
    long id = nextRequest++;
    cores.get(node).onRequest(id, method, path, body);
    return id;
  }

  /** The answer to a request; null if there is none yet. */
  Outbox.Answer answer(long request) {
    return answers.get(request);
  }

  /** Sends a request and returns its answer as one text. */
  String asked(int node, String method, String path, Object body) {
    byte[] bytes = body == null ? new byte[0] : Json.bytes(body);
    return text(ask(node, method, path, bytes));
  }

  /** An answer as one text. */
  static String text(Outbox.Answer answer) {
    String later =
        answer.retryAfterSeconds() == 0 ? "" : " Retry-After: " + answer.retryAfterSeconds();
    return answer.status() + later + " " + CanonicalJson.of(answer.body());
  }

  /** All that is stored, a line for each key. */
  String stored(String prefix) {
    List<String> lines = new ArrayList<>();
    for (String key : state.keys(prefix)) {
      lines.add(key + " " + CanonicalJson.of(state.get(key)));
    }
    return String.join("\n", lines);
  }

  private void step() {
    nowMicros += STEP;
    state.advance(nowMicros);
    cloud.advance(nowMicros);
    List<Open> before = open;
    open = new ArrayList<>();
    before.forEach(this::serve);
    List.copyOf(cores.keySet())
        .forEach(
            node -> {
              cores.get(node).tick(nowMicros, dayTimeMicros);
              drain(node);
            });
  }

  private void drain(int node) {
    Controller core = cores.get(node);
    for (Outbox.Call call : core.outbox().drainCalls()) {
      calls.add(new Sent(node, call));
      open.add(new Open(node, core, call, nowMicros));
    }
    for (PeerMessage message : core.outbox().drainPeerMessages()) {
      messages.add(message);
      cores.values().stream()
          .filter(other -> other != core)
          .forEach(other -> other.onPeerMessage(message));
    }
    core.outbox().drainAnswers().forEach(answer -> answers.put(answer.request(), answer));
  }

  private void serve(Open sent) {
    if (cores.get(sent.node()) != sent.core()) {
      return;
    }
    Outbox.Call call = sent.call();
    boolean watch = call.path().startsWith("/follow");
    if (watch && !watchEnds(sent)) {
      open.add(sent);
      return;
    }
    ServiceResponse answer = serve(call);
    Outbox.Reply reply =
        answer == NONE
            ? new Outbox.Reply(0, new byte[0])
            : new Outbox.Reply(answer.status(), Json.bytes(answer.body()));
    sent.core().tick(nowMicros, dayTimeMicros);
    sent.core().outbox().reply(call.id(), reply);
    drain(sent.node());
  }

  private boolean watchEnds(Open sent) {
    String from = sent.call().path().replaceFirst(".*[?&]from=([0-9]+).*", "$1");
    return state.changedSince(Long.parseLong(from)) || nowMicros - sent.sinceMicros() > WATCH;
  }

  private ServiceResponse serve(Outbox.Call call) {
    if (call.address().startsWith("state")) {
      return serveState(call.method(), call.path(), call.body());
    }
    if (!call.address().startsWith("cloud")) {
      return machines.apply(call);
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
