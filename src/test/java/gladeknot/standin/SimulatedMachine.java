package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.MICROS_PER_SECOND;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A rented machine: its worker, the state of its heartbeats, and its faults. */
final class SimulatedMachine {
  /** Delay before the next heartbeat of a worker that changes its controller, in microseconds. */
  private static final long RETRY_DELAY_MICROS = MICROS_PER_SECOND;

  private static final long REDIRECT_DELAY_MICROS = 200_000;

  private FakeWorker worker;
  private int controller;
  private long nextHeartbeatMicros;
  private boolean awaitsResponse;
  private boolean dead;
  private boolean frozen;
  private boolean dropsResponses;
  private boolean blocksOutbound;
  private int startsChecked;

  /** Commands that arrived while the machine was frozen; they are executed when it resumes. */
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

  /** Kills the machine with everything on it. */
  void kill() {
    dead = true;
  }

  boolean isDead() {
    return dead;
  }

  /** Replaces the worker by one without tasks, in its first incarnation. */
  void reboot(FakeWorker fresh) {
    worker = fresh;
    startsChecked = 0;
    awaitsResponse = false;
    nextHeartbeatMicros = 0;
  }

  /** Freezes the machine; commands that arrive meanwhile are executed when it resumes. */
  void freeze() {
    frozen = true;
  }

  /** Resumes the machine and executes the commands that arrived meanwhile. */
  void unfreeze(long nowMicros) {
    frozen = false;
    worker.advance(nowMicros);
    heldCommands.forEach(worker::executeCommands);
    heldCommands.clear();
  }

  boolean isFrozen() {
    return frozen;
  }

  /** Drops heartbeat responses and commands, or delivers them again. */
  void dropResponses(boolean on) {
    dropsResponses = on;
  }

  boolean dropsResponses() {
    return dropsResponses;
  }

  /** Drops heartbeats while commands still arrive, or delivers them again. */
  void blockOutbound(boolean on) {
    blocksOutbound = on;
  }

  boolean blocksOutbound() {
    return blocksOutbound;
  }

  /** Returns whether the machine would run a task now if a controller started one. */
  boolean isUsable() {
    return !dead && !frozen && !dropsResponses && !blocksOutbound;
  }

  /** Returns the tasks on the machine; none if it is dead. */
  List<FakeWorker.Task> liveTasks() {
    return dead ? List.of() : worker.live();
  }

  /** Serves a call of a controller; empty if the call gets no answer. */
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
            ? new ServiceResponse(200, worker.heartbeat())
            : worker.executeCommands(Json.object(call.body())));
  }

  /** Returns the names of the tasks started since the last call. */
  List<String> newStarts() {
    List<String> tasks = new ArrayList<>();
    for (; startsChecked < worker.startCount(); startsChecked++) {
      tasks.add(worker.startedTask(startsChecked));
    }
    return tasks;
  }

  /** Returns the index of the controller that receives the machine's heartbeats. */
  int controller() {
    return controller;
  }

  boolean isHeartbeatDue(long nowMicros) {
    return nowMicros >= nextHeartbeatMicros && !awaitsResponse;
  }

  void heartbeatSent(long nextMicros) {
    nextHeartbeatMicros = nextMicros;
    awaitsResponse = true;
  }

  void heartbeatOver() {
    awaitsResponse = false;
  }

  /** Selects the next controller for the next heartbeat, after the retry delay. */
  void tryNextController(int controllers, long nowMicros) {
    controller = (controller + 1) % controllers;
    nextHeartbeatMicros = nowMicros + RETRY_DELAY_MICROS;
  }

  /** Selects the controller that the last heartbeat's response named for the next heartbeat. */
  void redirect(int to, long nowMicros) {
    controller = to;
    nextHeartbeatMicros = nowMicros + REDIRECT_DELAY_MICROS;
  }
}
