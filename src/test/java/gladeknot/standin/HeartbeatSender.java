package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.MICROS_PER_SECOND;

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
  private static final long TIMEOUT_MICROS = 4 * MICROS_PER_SECOND;
  private static final long LATENCY_MICROS = 1_000;
  private static final int HEARTBEATS_PER_DUPLICATE = 4;
  private static final double MIN_COPY_DELAY_MICROS = 10_000;
  private static final double COPY_DELAY_RANGE = 3_000;
  private static final long MIN_DUPLICATE_DELAY_MICROS = MICROS_PER_SECOND;
  private static final long DUPLICATE_DELAY_SPREAD_MICROS = 3 * ClusterSettings.LEASE_MICROS;

  /** A heartbeat that is in flight: neither answered nor timed out nor known to be lost. */
  private static final class Pending {
    private final FakeWorker worker;
    private final long incarnation;
    private final long sentMicros;
    private final int sentTo;
    private boolean finished;

    Pending(SimulatedMachine machine, long nowMicros) {
      this.worker = machine.worker();
      this.incarnation = worker.incarnation();
      this.sentMicros = nowMicros;
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

  /**
   * Returns the time at which a controller's last command to start or kill a task reached a worker;
   * 0 if none has.
   */
  long lastCommandMicros(int controller) {
    return lastCommandMicros.getOrDefault(controller, 0L);
  }

  /** Sends a machine's heartbeat, and a late duplicate if that fault is on. */
  void send(SimulatedMachine machine) {
    Pending pending = new Pending(machine, clock.now());
    Map<String, Object> heartbeat = pending.worker.heartbeat();
    machine.heartbeatSent(clock.now() + ClusterSettings.HEARTBEAT_INTERVAL_MICROS);
    clock.schedule(
        TIMEOUT_MICROS,
        () -> {
          if (!pending.finished) {
            giveUp(machine, pending);
          }
        });
    duplicate(heartbeat);
    copy(heartbeat);
    if (!controllers.isUp(pending.sentTo) || machine.blocksOutbound()) {
      giveUp(machine, pending);
    } else if (faults.connectsWorkers(pending.sentTo, machine.zone())
        && !faults.links().drops(pending.sentTo, Direction.REPORTS)) {
      clock.schedule(LATENCY_MICROS, () -> deliver(machine, pending, heartbeat));
    }
  }

  private void finish(SimulatedMachine machine, Pending pending) {
    pending.finished = true;
    if (machine.worker() == pending.worker) {
      machine.heartbeatOver();
    }
  }

  private void giveUp(SimulatedMachine machine, Pending pending) {
    finish(machine, pending);
    if (machine.worker() == pending.worker) {
      machine.tryNextController(controllers.count(), clock.now());
    }
  }

  /** Sends a copy of a heartbeat to each controller, each after a delay of its own. */
  private void copy(Map<String, Object> heartbeat) {
    if (!faults.copiesMessages()) {
      return;
    }
    for (int controller = 0; controller < controllers.count(); controller++) {
      int target = controller;
      clock.schedule(copyDelayMicros(), () -> request(target, heartbeat, response -> {}));
    }
  }

  /** Returns the delay of a copy, from a hundredth of a second to half a minute. */
  private long copyDelayMicros() {
    return (long) (MIN_COPY_DELAY_MICROS * Math.pow(COPY_DELAY_RANGE, random.nextDouble()));
  }

  /**
   * Delivers a copy of an answer once more before the worker would drop it. The connection on which
   * it comes ends with the machine.
   */
  private void copyAnswer(SimulatedMachine machine, Pending pending, Map<String, Object> body) {
    if (!faults.copiesMessages()) {
      return;
    }
    long delayMicros =
        Math.min(copyDelayMicros(), pending.sentMicros + TIMEOUT_MICROS - clock.now());
    clock.schedule(
        Math.max(1, delayMicros),
        () -> {
          if (machine.worker() == pending.worker && !machine.isDead() && !machine.isFrozen()) {
            machine.worker().handleResponse(body, pending.sentMicros, pending.incarnation);
          }
        });
  }

  private void duplicate(Map<String, Object> heartbeat) {
    if (faults.duplicatesHeartbeats() && random.nextInt(HEARTBEATS_PER_DUPLICATE) == 0) {
      int target = random.nextInt(controllers.count());
      clock.schedule(
          MIN_DUPLICATE_DELAY_MICROS + random.nextLong(DUPLICATE_DELAY_SPREAD_MICROS),
          () -> request(target, heartbeat, response -> {}));
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

  /** Handles a response; drops it if the heartbeat is not in flight or the worker can't receive. */
  private void receive(SimulatedMachine machine, Pending pending, Outbox.Answer response) {
    if (pending.finished
        || machine.dropsResponses()
        || machine.isFrozen()
        || machine.worker() != pending.worker
        || faults.links().drops(pending.sentTo, Direction.REPORT_ANSWERS)) {
      return;
    }
    finish(machine, pending);
    try {
      Map<String, Object> body = Json.object(response.body());
      recordCommands(pending.sentTo, body);
      apply(machine, pending, response.status(), body);
    } catch (IOException e) {
      violations.add("the response to a heartbeat is not a JSON object");
    }
  }

  private void recordCommands(int controller, Map<String, Object> body) {
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
        machine.worker().handleResponse(body, pending.sentMicros, pending.incarnation);
        copyAnswer(machine, pending, body);
      }
    } else if (status == 421 && owner != null) {
      int target = Integer.parseInt(owner.substring(owner.lastIndexOf('-') + 1));
      if (target == machine.controller()) {
        machine.tryNextController(controllers.count(), clock.now());
      } else {
        machine.redirect(target, clock.now());
      }
    } else {
      machine.tryNextController(controllers.count(), clock.now());
    }
  }
}
