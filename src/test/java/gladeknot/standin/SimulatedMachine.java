package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.SECOND;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A rented machine with its worker, its place in the heartbeat loop and its faults. */
final class SimulatedMachine {
  /** A worker that changes its controller waits so long before the next heartbeat. */
  private static final long RETRY_MICROS = SECOND;

  private static final long REDIRECT_MICROS = 200_000;

  private FakeWorker worker;
  private int controller;
  private long nextHeartbeat;
  private boolean awaitsResponse;
  private boolean dead;
  private boolean frozen;
  private boolean dropsResponses;
  private boolean blocksOutbound;
  private int startsChecked;

  /** Commands that arrived while it was frozen: executed when it resumes. */
  private final List<Map<String, Object>> heldCommands = new ArrayList<>();

  SimulatedMachine(FakeWorker worker, int controller) {
    this.worker = worker;
    this.controller = controller;
  }

  FakeWorker worker() {
    return worker;
  }

  String host() {
    return worker.host();
  }

  String zone() {
    return worker.zone();
  }

  /** Ends the machine with all that is on it. */
  void kill() {
    dead = true;
  }

  boolean isDead() {
    return dead;
  }

  /** Replaces the worker by one without tasks, in its first session. */
  void reboot(FakeWorker fresh) {
    worker = fresh;
    startsChecked = 0;
  }

  /** Freezes the machine; commands that arrive meanwhile are executed when it resumes. */
  void freeze() {
    frozen = true;
  }

  /** Resumes the machine. */
  void unfreeze(long now) {
    frozen = false;
    worker.advance(now);
    heldCommands.forEach(worker::orders);
    heldCommands.clear();
  }

  boolean isFrozen() {
    return frozen;
  }

  /** Whether heartbeat responses and commands are lost. */
  void dropResponses(boolean on) {
    dropsResponses = on;
  }

  boolean dropsResponses() {
    return dropsResponses;
  }

  /** Whether heartbeats are lost while commands arrive. */
  void blockOutbound(boolean on) {
    blocksOutbound = on;
  }

  boolean blocksOutbound() {
    return blocksOutbound;
  }

  /** Whether it would run a task now if a controller asked it to. */
  boolean isUsable() {
    return !dead && !frozen && !dropsResponses && !blocksOutbound;
  }

  /** Tasks on the machine; none if it is dead. */
  List<FakeWorker.Task> liveTasks() {
    return dead ? List.of() : worker.live();
  }

  /** Serves a call of a controller; empty if it gets no answer. */
  Optional<ServiceResponse> serve(Outbox.Call call) throws IOException {
    if (dead || dropsResponses) {
      return Optional.empty();
    }
    if (frozen) {
      if (call.path().equals("/orders")) {
        heldCommands.add(Json.object(call.body()));
      }
      return Optional.empty();
    }
    return Optional.of(
        call.path().equals("/status")
            ? new ServiceResponse(200, worker.report())
            : worker.orders(Json.object(call.body())));
  }

  /** The starts since the last call, as task names. */
  List<String> newStarts() {
    List<String> tasks = new ArrayList<>();
    for (; startsChecked < worker.startCount(); startsChecked++) {
      tasks.add(worker.startedTask(startsChecked));
    }
    return tasks;
  }

  /** The index of the controller that its heartbeats go to. */
  int controller() {
    return controller;
  }

  boolean isHeartbeatDue(long now) {
    return now >= nextHeartbeat && !awaitsResponse;
  }

  void heartbeatSent(long nextMicros) {
    nextHeartbeat = nextMicros;
    awaitsResponse = true;
  }

  void heartbeatOver() {
    awaitsResponse = false;
  }

  /** Sends the next heartbeat to the next controller. */
  void tryNextController(int controllers, long now) {
    controller = (controller + 1) % controllers;
    nextHeartbeat = now + RETRY_MICROS;
  }

  /** Sends the next heartbeat to the controller that the last one named. */
  void redirect(int to, long now) {
    controller = to;
    nextHeartbeat = now + REDIRECT_MICROS;
  }
}
