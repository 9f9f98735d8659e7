package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.SECOND;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.standin.LinkFaults.Direction;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Sends the machines' heartbeats to controllers and hands the responses to the workers. */
final class HeartbeatSender {
  private static final long TIMEOUT = 4 * SECOND;
  private static final long LATENCY = 1_000;
  private static final int HEARTBEATS_PER_COPY = 4;
  private static final long MIN_COPY_DELAY = SECOND;
  private static final long COPY_DELAY_SPREAD = 3 * ClusterSettings.LEASE;

  /** A heartbeat until it is answered, given up, or known to be lost. */
  private static final class Pending {
    private final FakeWorker worker;
    private final long tenure;
    private final long sentMicros;
    private final int sentTo;
    private boolean over;

    Pending(SimulatedMachine machine, long now) {
      this.worker = machine.worker();
      this.tenure = worker.incarnation();
      this.sentMicros = now;
      this.sentTo = machine.controller();
    }
  }

  private final SimulatedClock clock;
  private final SplittableRandom random;
  private final FaultInjection faults;
  private final SimulatedControllers controllers;
  private final Violations violations;
  private final Map<Integer, Long> lastCommandMicros = new HashMap<>();

  HeartbeatSender(
      SimulatedClock clock,
      SplittableRandom random,
      FaultInjection faults,
      SimulatedControllers controllers,
      Violations violations) {
    this.clock = clock;
    this.random = random;
    this.faults = faults;
    this.controllers = controllers;
    this.violations = violations;
  }

  /** When a controller's command to start or kill something reached a worker last; 0 for never. */
  long lastCommandMicros(int controller) {
    return lastCommandMicros.getOrDefault(controller, 0L);
  }

  /** Sends a machine's heartbeat. */
  void send(SimulatedMachine machine) {
    Pending pending = new Pending(machine, clock.now());
    Map<String, Object> heartbeat = pending.worker.report();
    machine.heartbeatSent(clock.now() + ClusterSettings.HEARTBEAT_INTERVAL);
    clock.schedule(
        TIMEOUT,
        () -> {
          if (!pending.over) {
            giveUp(machine, pending);
          }
        });
    duplicate(heartbeat);
    if (!controllers.isUp(pending.sentTo) || machine.blocksOutbound()) {
      giveUp(machine, pending);
    } else if (faults.connectsWorkers(pending.sentTo, machine.zone())
        && !faults.links().drops(pending.sentTo, Direction.REPORTS)) {
      clock.schedule(LATENCY, () -> deliver(machine, pending, heartbeat));
    }
  }

  private void finish(SimulatedMachine machine, Pending pending) {
    pending.over = true;
    machine.heartbeatOver();
  }

  private void giveUp(SimulatedMachine machine, Pending pending) {
    finish(machine, pending);
    machine.tryNextController(controllers.count(), clock.now());
  }

  private void duplicate(Map<String, Object> heartbeat) {
    if (faults.duplicatesHeartbeats() && random.nextInt(HEARTBEATS_PER_COPY) == 0) {
      int copyTo = random.nextInt(controllers.count());
      clock.schedule(
          MIN_COPY_DELAY + random.nextLong(COPY_DELAY_SPREAD),
          () -> request(copyTo, heartbeat, response -> {}));
    }
  }

  private void request(
      int controller, Map<String, Object> heartbeat, Consumer<Outbox.Answer> handler) {
    controllers.request(controller, "POST", "/hello", heartbeat, handler);
  }

  private void deliver(SimulatedMachine machine, Pending pending, Map<String, Object> heartbeat) {
    request(
        machine.controller(),
        heartbeat,
        response ->
            clock.schedule(faults.commandDelayMicros(), () -> receive(machine, pending, response)));
  }

  /** What comes after the worker has given the request up is dropped. */
  private void receive(SimulatedMachine machine, Pending pending, Outbox.Answer response) {
    if (pending.over
        || machine.dropsResponses()
        || machine.isFrozen()
        || machine.worker() != pending.worker
        || faults.links().drops(pending.sentTo, Direction.REPORT_ANSWERS)) {
      return;
    }
    finish(machine, pending);
    try {
      Map<String, Object> body = Json.object(response.body());
      noteCommands(pending.sentTo, body);
      apply(machine, pending, response.status(), body);
    } catch (IOException e) {
      violations.add("an answer to a worker is no JSON object");
    }
  }

  private void noteCommands(int controller, Map<String, Object> body) {
    List<Map<String, Object>> commands = Json.objects(body, "orders");
    if (commands.stream().anyMatch(command -> !"reap".equals(command.get("verb")))) {
      lastCommandMicros.put(controller, clock.now());
    }
  }

  private void apply(
      SimulatedMachine machine, Pending pending, int status, Map<String, Object> body) {
    String owner = Json.text(body, "foreman");
    if (status == 200) {
      if (!machine.isDead()) {
        machine.worker().handleResponse(body, pending.sentMicros, pending.tenure);
      }
    } else if (status == 421 && owner != null) {
      int to = Integer.parseInt(owner.substring("node-".length()));
      if (to == machine.controller()) {
        machine.tryNextController(controllers.count(), clock.now());
      } else {
        machine.redirect(to, clock.now());
      }
    } else {
      machine.tryNextController(controllers.count(), clock.now());
    }
  }
}
