package gladeknot.standin;

import gladeknot.json.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Faults of single machines. Machines are numbered in the order of their host names, without the
 * dead ones.
 */
public final class MachineFaults {
  /** Fencing token above every token that controllers get. */
  private static final long HIGHEST_TOKEN = 1L << 40;

  /** Lowest attempt number of the tasks that no controller started. */
  private static final long FIRST_UNSCHEDULED_ATTEMPT = 1_000_000;

  private static final int UNSCHEDULED_ATTEMPT_RANGE = 1000;

  private final SimulatedClock clock;
  private final SplittableRandom random;
  private final SimulatedMachines machines;
  private final SimulatedControllers controllers;
  private final FakeCloud cloud;
  private final List<Map<String, Object>> capturedHeartbeats = new ArrayList<>();

  MachineFaults(
      SimulatedClock clock,
      SplittableRandom random,
      SimulatedMachines machines,
      SimulatedControllers controllers,
      FakeCloud cloud) {
    this.clock = clock;
    this.random = random;
    this.machines = machines;
    this.controllers = controllers;
    this.cloud = cloud;
  }

  /** Drops a machine's heartbeats while commands still reach it, or ends this. */
  public void blockOutbound(int nth, boolean on) {
    machines.aliveAt(nth).blockOutbound(on);
  }

  /**
   * Drops all responses and commands to a machine while its heartbeats get through, or ends this.
   * Unlike in the other methods, dead machines count in the numbering until they are released. Does
   * nothing if there is no machine of this number.
   */
  public void dropResponses(int nth, boolean on) {
    List<SimulatedMachine> all = List.copyOf(machines.all());
    if (nth < all.size()) {
      all.get(nth).dropResponses(on);
    }
  }

  /**
   * Drops all responses and commands to all present machines; machines that are added later are not
   * affected.
   */
  public void dropResponsesOfAll() {
    machines.all().forEach(machine -> machine.dropResponses(true));
  }

  /** Freezes a machine, or resumes it and executes the commands that arrived meanwhile. */
  public void freeze(int nth, boolean on) {
    SimulatedMachine machine = machines.aliveAt(nth);
    if (on) {
      machine.freeze();
    } else {
      machine.unfreeze(clock.now());
    }
  }

  /** Freezes a machine, and returns an action that resumes the same machine. */
  public Runnable freezeOne(int nth) {
    SimulatedMachine machine = machines.aliveAt(nth);
    machine.freeze();
    return () -> machine.unfreeze(clock.now());
  }

  /**
   * Drops all responses and commands to a machine, and returns an action that ends this for the
   * same machine.
   */
  public Runnable dropResponsesOfOne(int nth) {
    SimulatedMachine machine = machines.aliveAt(nth);
    machine.dropResponses(true);
    return () -> machine.dropResponses(false);
  }

  /** Kills a machine with everything on it. Does nothing if there is no machine of this number. */
  public void kill(int nth) {
    List<SimulatedMachine> alive = machines.alive();
    if (nth < alive.size()) {
      alive.get(nth).kill();
    }
  }

  /** Reboots a machine: it loses all its tasks and is back at once, with its counters reset. */
  public void reboot(int nth) {
    machines.reboot(machines.alive().get(nth));
  }

  /** Makes the cloud announce the reclaim of a machine, and reclaim it after the notice period. */
  public void reclaim(String host, long noticeMicros) {
    machines.byHost(host).orElseThrow().worker().announceReclaim(clock.now() + noticeMicros);
    clock.schedule(noticeMicros, () -> cloud.reclaim(host));
  }

  /** Captures the heartbeat that each machine would send now. */
  public void captureHeartbeats() {
    machines.alive().forEach(machine -> capturedHeartbeats.add(machine.worker().heartbeat()));
  }

  /** Delivers the captured heartbeats to a controller. */
  public void deliverCapturedHeartbeats(int controller) {
    for (Map<String, Object> heartbeat : capturedHeartbeats) {
      controllers.request(controller, "POST", "/hello", heartbeat, response -> {});
    }
  }

  /**
   * Makes a machine run a task that no controller started, even if it has no room for it; for tests
   * of the checkers.
   */
  public void runUnscheduledTask(int nth, String task) {
    long attempt = FIRST_UNSCHEDULED_ATTEMPT + random.nextInt(UNSCHEDULED_ATTEMPT_RANGE);
    deliverResponse(nth, List.of());
    machines.aliveAt(nth).worker().startWithoutRoom(task, attempt);
  }

  /** Renews a machine's lease without any controller; for tests of the checkers. */
  public void renewLease(int nth) {
    deliverResponse(nth, List.of());
  }

  private void deliverResponse(int nth, List<Map<String, Object>> commands) {
    FakeWorker worker = machines.aliveAt(nth).worker();
    Map<String, Object> response = Json.of("fence", HIGHEST_TOKEN, "orders", commands);
    worker.handleResponse(response, clock.now(), worker.incarnation());
  }
}
