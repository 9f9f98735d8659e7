package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.MICROS_PER_SECOND;
import static gladeknot.standin.SimulatedClock.STEP_MICROS;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.standin.LinkFaults.Direction;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/** Carries controllers' calls to the fake services and machines, with delays and faults. */
final class SimulatedNetwork {
  /** Receives the response to a call. */
  interface ResponseHandler {
    /** Called when the call is over; empty if the call timed out or its connection was refused. */
    void onResponse(Optional<ServiceResponse> response);
  }

  private static final long MIN_LATENCY_MICROS = 2_000;
  private static final int LATENCY_SPREAD_MICROS = 15_000;
  private static final long WATCH_LATENCY_MICROS = 3_000;

  /**
   * Time before its caller's timeout at which a watch without changes is answered, in microseconds.
   */
  private static final long WATCH_MARGIN_MICROS = 4 * MICROS_PER_SECOND;

  private static final long MIN_LATE_COMMAND_MICROS = 100_000;
  private static final long LATE_COMMAND_SPREAD_MICROS = 16 * MICROS_PER_SECOND;
  private static final long MIN_LATE_COMMIT_MICROS = 2 * MICROS_PER_SECOND;
  private static final long LATE_COMMIT_SPREAD_MICROS = 10 * MICROS_PER_SECOND;

  private final SimulatedClock clock;
  private final SplittableRandom random;
  private final FaultInjection faults;
  private final FakeStateStore state;
  private final FakeCloud cloud;
  private final SimulatedMachines machines;
  private final Violations violations;
  private final Set<Integer> firstVersionNodes = new HashSet<>();
  private Optional<StateRateLimits> stateLimits = Optional.empty();
  private long stateCalls;

  SimulatedNetwork(
      SimulatedClock clock,
      SplittableRandom random,
      FaultInjection faults,
      FakeStateStore state,
      FakeCloud cloud,
      SimulatedMachines machines,
      Violations violations) {
    this.clock = clock;
    this.random = random;
    this.faults = faults;
    this.state = state;
    this.cloud = cloud;
    this.machines = machines;
    this.violations = violations;
  }

  /** Makes a controller's announcements look like those of the first version, or ends this. */
  void impersonateFirstVersion(int node, boolean on) {
    if (on) {
      firstVersionNodes.add(node);
    } else {
      firstVersionNodes.remove(node);
    }
  }

  /** Makes the state service refuse calls above the given rates from now on. */
  void limitStateCalls(StateRateLimits limits) {
    stateLimits = Optional.of(limits);
  }

  /** Returns the number of calls to the state service that were refused because of its rates. */
  long refusedStateCalls() {
    return stateLimits.map(StateRateLimits::refused).orElse(0L);
  }

  /** Returns the number of calls to the state service so far. */
  long stateCalls() {
    return stateCalls;
  }

  /** Sends a call of a controller. */
  void send(int node, Outbox.Call call, ResponseHandler handler) {
    if (isStateCall(call)) {
      stateCalls++;
      if (failsBeforeSending(node, call, handler)) {
        return;
      }
    }
    long latencyMicros = MIN_LATENCY_MICROS + random.nextInt(LATENCY_SPREAD_MICROS);
    latencyMicros += isStateCall(call) ? faults.stateDelayMicros() : 0;
    if (isCommit(call) && losesCommitAnswer(node, call, latencyMicros, handler)) {
      return;
    }
    latencyMicros += isCommand(call) ? faults.commandDelayMicros() : 0;
    clock.schedule(latencyMicros, () -> deliver(node, call, handler));
  }

  private void deliver(int node, Outbox.Call call, ResponseHandler handler) {
    Optional<ServiceResponse> served = serve(node, call);
    Optional<ServiceResponse> response = losesResponse(node, call) ? Optional.empty() : served;
    long answerDelayMicros = isCommit(call) ? faults.commitAnswerDelayMicros(node, call.body()) : 0;
    clock.schedule(
        response.isEmpty() ? call.timeoutMicros() : MIN_LATENCY_MICROS + answerDelayMicros,
        () -> handler.onResponse(response));
  }

  private static boolean isStateCall(Outbox.Call call) {
    return call.address().startsWith("state");
  }

  private static boolean isCloudCall(Outbox.Call call) {
    return call.address().startsWith("cloud");
  }

  private static boolean isCommit(Outbox.Call call) {
    return call.path().equals("/commit");
  }

  private static boolean isCommand(Outbox.Call call) {
    return call.path().equals("/orders") || call.path().equals("/status");
  }

  /**
   * Handles watches, and calls to the state service that are refused or lost. Returns whether the
   * call was handled.
   */
  private boolean failsBeforeSending(int node, Outbox.Call call, ResponseHandler handler) {
    if (faults.links().refuses(node)) {
      clock.schedule(MIN_LATENCY_MICROS, () -> handler.onResponse(Optional.empty()));
    } else if (faults.losesStateRequests(node)) {
      timeOut(call, handler);
    } else if (exceedsStateLimits(call)) {
      clock.schedule(
          MIN_LATENCY_MICROS, () -> handler.onResponse(Optional.of(StateRateLimits.refusal())));
    } else if (call.path().startsWith("/follow")) {
      watch(node, call, handler, clock.now() + call.timeoutMicros() - WATCH_MARGIN_MICROS);
    } else if (faults.rejectsStateCalls(node)) {
      clock.schedule(MIN_LATENCY_MICROS, () -> handler.onResponse(unavailable()));
    } else {
      return false;
    }
    return true;
  }

  private boolean exceedsStateLimits(Outbox.Call call) {
    return stateLimits.isPresent()
        && !stateLimits.get().admits(call.path(), call.body(), clock.now());
  }

  private static Optional<ServiceResponse> unavailable() {
    return Optional.of(new ServiceResponse(503, Json.of()));
  }

  private void timeOut(Outbox.Call call, ResponseHandler handler) {
    clock.schedule(call.timeoutMicros(), () -> handler.onResponse(Optional.empty()));
  }

  /**
   * Handles transactions that are carried out, possibly late, but get no answer. Returns whether
   * the transaction is one of them.
   */
  private boolean losesCommitAnswer(
      int node, Outbox.Call call, long latencyMicros, ResponseHandler handler) {
    if (faults.lateCommitShare() > 0 && random.nextDouble() < faults.lateCommitShare()) {
      serveUnanswered(
          node, call, MIN_LATE_COMMIT_MICROS + random.nextLong(LATE_COMMIT_SPREAD_MICROS), handler);
      return true;
    }
    Optional<Long> held = faults.takeHeldCommit(call.body());
    if (held.isPresent()) {
      serveUnanswered(node, call, held.get(), handler);
      return true;
    }
    if (faults.takeLostCommitAnswer()) {
      serveUnanswered(node, call, latencyMicros + faults.lostCommitDelayMicros(), handler);
      return true;
    }
    return false;
  }

  private void serveUnanswered(
      int node, Outbox.Call call, long delayMicros, ResponseHandler handler) {
    clock.schedule(delayMicros, () -> serve(node, call));
    timeOut(call, handler);
  }

  private boolean losesResponse(int node, Outbox.Call call) {
    if (isCloudCall(call)) {
      return false;
    }
    Direction direction = isStateCall(call) ? Direction.STATE_ANSWERS : Direction.COMMAND_ANSWERS;
    return faults.links().drops(node, direction);
  }

  private void watch(int node, Outbox.Call call, ResponseHandler handler, long emptyAnswerMicros) {
    long from = Long.parseLong(FakeStateStore.query(call.path()).get("from"));
    long nowMicros = clock.now();
    if (faults.servesWatch(node) && (state.changedSince(from) || nowMicros >= emptyAnswerMicros)) {
      Optional<ServiceResponse> response = serve(node, call);
      clock.schedule(
          WATCH_LATENCY_MICROS + faults.stateDelayMicros(), () -> handler.onResponse(response));
    } else if (nowMicros >= emptyAnswerMicros + WATCH_MARGIN_MICROS) {
      handler.onResponse(Optional.empty());
    } else {
      clock.schedule(STEP_MICROS, () -> watch(node, call, handler, emptyAnswerMicros));
    }
  }

  private Optional<ServiceResponse> serve(int node, Outbox.Call call) {
    try {
      if (isStateCall(call)) {
        return serveByState(node, call);
      }
      if (isCloudCall(call)) {
        return Optional.of(cloud.serve(call.method(), call.path(), call.body()));
      }
      return serveByMachine(node, call);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Serves a call to the state service. Transactions that are under way are carried out even during
   * an outage, unless they write nothing: those are reads.
   */
  private Optional<ServiceResponse> serveByState(int node, Outbox.Call call) throws IOException {
    if (isCommit(call) && !(faults.hasStateOutage() && writesNothing(call.body()))) {
      byte[] transaction = checkedTransaction(node, call.body());
      ServiceResponse response = state.serve(call.method(), call.path(), transaction);
      if (FakeStateStore.MALFORMED_KEY.equals(response.body().get("error"))) {
        violations.add("malformed call: " + new String(transaction, StandardCharsets.UTF_8));
      }
      return Optional.of(response);
    }
    return faults.hasStateOutage()
        ? unavailable()
        : Optional.of(state.serve(call.method(), call.path(), call.body()));
  }

  private static boolean writesNothing(byte[] transaction) throws IOException {
    return Json.objects(Json.object(transaction), "writes").isEmpty();
  }

  private Optional<ServiceResponse> serveByMachine(int node, Outbox.Call call) throws IOException {
    Optional<SimulatedMachine> machine = machines.byHost(call.address().split(":")[0]);
    if (machine.isEmpty()
        || !faults.connectsWorkers(node, machine.get().zone())
        || faults.links().drops(node, Direction.COMMANDS)) {
      return Optional.empty();
    }
    copyCommand(machine.get(), call);
    return machine.get().serve(call);
  }

  /** Delivers a copy of a direct command later, without an answer. */
  private void copyCommand(SimulatedMachine machine, Outbox.Call call) {
    if (faults.copiesMessages() && call.path().equals("/orders")) {
      clock.schedule(
          MIN_LATE_COMMAND_MICROS + random.nextLong(LATE_COMMAND_SPREAD_MICROS),
          () -> {
            try {
              machine.serve(call);
            } catch (IOException e) {
              throw new IllegalStateException(e);
            }
          });
    }
  }

  /**
   * Returns a transaction as the controller's version would send it. Reports writes that a
   * controller of the first version could not read.
   */
  private byte[] checkedTransaction(int node, byte[] body) throws IOException {
    Map<String, Object> transaction = Json.object(body);
    for (Map<String, Object> write : Json.objects(transaction, "writes")) {
      String key = Json.text(write, "write");
      if (key == null) {
        continue;
      }
      if (firstVersionNodes.contains(node) && key.startsWith("g/alive/")) {
        Json.map(write.get("data")).remove("f");
      }
      boolean formatAgreed = state.get("g/format") != null;
      if (!formatAgreed && !FirstVersionRecords.canRead(key, Json.map(write.get("data")))) {
        violations.add("unreadable for the first version: " + key);
      }
    }
    return Json.bytes(transaction);
  }
}
