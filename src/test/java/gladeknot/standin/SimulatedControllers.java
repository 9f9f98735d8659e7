package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.STEP_MICROS;

import gladeknot.app.Controller;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.policy.Policy;
import gladeknot.settings.Features;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Hosts a simulation's controllers: starts and stops them and carries their messages. */
final class SimulatedControllers {
  private static final long PEER_LATENCY_MICROS = 2_000;

  private static final class Node {
    private Controller controller;
    private boolean up;
    private boolean paused;

    /**
     * Number that grows with each start and each end, so that a response to an earlier incarnation
     * is dropped.
     */
    private long incarnation;

    private final Map<Long, Consumer<Outbox.Answer>> openRequests = new HashMap<>();
    private long nextRequest = 1;

    boolean isRunning() {
      return up && !paused;
    }
  }

  private final SimulatedClock clock;
  private final SplittableRandom random;
  private final FaultInjection faults;
  private final SimulatedNetwork network;
  private ClusterScale scale;
  private final Features features;
  private final Optional<BehaviourFingerprint> fingerprint;
  private final Map<Integer, Features> ownFeatures = new HashMap<>();
  private final List<Node> nodes = new ArrayList<>();
  private int members;
  private long peerBytes;

  SimulatedControllers(
      SimulatedClock clock,
      SplittableRandom random,
      FaultInjection faults,
      SimulatedNetwork network,
      ClusterScale scale,
      Features features,
      Optional<BehaviourFingerprint> fingerprint) {
    this.clock = clock;
    this.random = random;
    this.faults = faults;
    this.network = network;
    this.scale = scale;
    this.features = features;
    this.fingerprint = fingerprint;
  }

  /**
   * Changes the number of members in the settings with which controllers start from now on. A
   * controller beyond it must not be started.
   */
  void useMembers(int count) {
    members = count;
    while (nodes.size() < count) {
      nodes.add(new Node());
    }
  }

  /** Starts the first incarnations of all controllers. */
  void startAll(int count) {
    useMembers(count);
    for (int i = 0; i < count; i++) {
      start(i);
    }
  }

  /** Starts a controller without any memory of its earlier incarnation. */
  void start(int index) {
    Node node = nodes.get(index);
    node.controller =
        new Controller(
            ClusterSettings.of(index, members, scale),
            ownFeatures.getOrDefault(index, features),
            Policy.of(""),
            random.split());
    node.up = true;
    node.paused = false;
    node.incarnation++;
    node.openRequests.clear();
  }

  /** Kills a controller; messages that it has sent may still arrive. */
  void kill(int index) {
    nodes.get(index).up = false;
    nodes.get(index).incarnation++;
  }

  void pause(int index, boolean paused) {
    nodes.get(index).paused = paused;
  }

  /** Gives one controller its own features, from its next start on. */
  void useFeatures(int index, Features own) {
    ownFeatures.put(index, own);
  }

  /** Gives all controllers another scale, from their next starts on. */
  void useScale(ClusterScale changed) {
    scale = changed;
  }

  int count() {
    return nodes.size();
  }

  boolean isUp(int index) {
    return nodes.get(index).up;
  }

  /** Returns the indexes of all controllers that are up and not paused. */
  List<Integer> running() {
    List<Integer> running = new ArrayList<>();
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).isRunning()) {
        running.add(i);
      }
    }
    return running;
  }

  /** Returns the status that a controller shows to operators. */
  Map<String, Object> status(int index) {
    return nodes.get(index).controller.status();
  }

  /** Returns the number of bytes of messages between controllers so far. */
  long peerBytes() {
    return peerBytes;
  }

  /** Lets all running controllers do their periodic work. */
  void tick() {
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).isRunning()) {
        tick(i);
        drain(i);
      }
    }
  }

  /** Adds the quota and slice violations that controllers that are up have found. */
  void checkAssertions(Violations violations) {
    for (int i = 0; i < nodes.size(); i++) {
      if (nodes.get(i).up && nodes.get(i).controller.quotaViolations() > 0) {
        violations.add("quota: found exceeded by controller " + i);
      }
      if (nodes.get(i).up && nodes.get(i).controller.sliceViolations() > 0) {
        violations.add("ran_twice: slices found violated by controller " + i);
      }
    }
  }

  private void tick(int index) {
    nodes.get(index).controller.tick(clock.now(), clock.now());
  }

  /** Sends a request to a controller; a controller that is not running does not answer. */
  void request(
      int index, String method, String path, Object body, Consumer<Outbox.Answer> handler) {
    Node node = nodes.get(index);
    if (!node.isRunning()) {
      return;
    }
    long id = node.nextRequest++;
    node.openRequests.put(id, handler);
    tick(index);
    node.controller.onRequest(id, method, path, body == null ? new byte[0] : Json.bytes(body));
    drain(index);
  }

  private void drain(int index) {
    Outbox outbox = nodes.get(index).controller.outbox();
    for (Outbox.Call call : outbox.drainCalls()) {
      fingerprint.ifPresent(recorder -> recorder.call(clock.now(), index, call));
      send(index, call);
    }
    for (PeerMessage message : outbox.drainPeerMessages()) {
      peerBytes += (long) message.encode().length * (nodes.size() - 1);
      fingerprint.ifPresent(recorder -> recorder.message(clock.now(), index, message));
      broadcast(index, message);
    }
    for (Outbox.Answer answer : outbox.drainAnswers()) {
      fingerprint.ifPresent(recorder -> recorder.answer(clock.now(), index, answer));
      Consumer<Outbox.Answer> handler = nodes.get(index).openRequests.remove(answer.request());
      if (handler != null) {
        handler.accept(answer);
      }
    }
  }

  private void send(int index, Outbox.Call call) {
    long incarnation = nodes.get(index).incarnation;
    network.send(index, call, response -> deliverResponse(index, incarnation, call, response));
  }

  private void broadcast(int from, PeerMessage message) {
    for (int to = 0; to < nodes.size(); to++) {
      Node receiver = nodes.get(to);
      if (to != from && faults.connectsPeers(from, to)) {
        clock.schedule(
            PEER_LATENCY_MICROS + faults.peerDelayMicros(),
            () -> {
              if (receiver.isRunning()) {
                receiver.controller.onPeerMessage(message);
              }
            });
      }
    }
  }

  private void deliverResponse(
      int index, long incarnation, Outbox.Call call, Optional<ServiceResponse> response) {
    Node node = nodes.get(index);
    if (node.incarnation != incarnation || !node.up) {
      return;
    }
    if (node.paused) {
      clock.schedule(STEP_MICROS, () -> deliverResponse(index, incarnation, call, response));
      return;
    }
    tick(index);
    Outbox.Reply reply =
        response
            .map(served -> new Outbox.Reply(served.status(), Json.bytes(served.body())))
            .orElseGet(() -> new Outbox.Reply(0, new byte[0]));
    node.controller.outbox().reply(call.id(), reply);
    drain(index);
  }
}
