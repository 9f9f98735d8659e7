package gladeknot.fleet;

import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import gladeknot.state.TokenBucket;
import gladeknot.workers.MachineType;
import java.util.List;
import java.util.Optional;

/**
 * Calls the cloud within this controller's share of the cloud's rate limit. Methods that return a
 * boolean return false, without a call, while the share is used up.
 */
final class CloudClient {
  private static final long CALL_TIMEOUT_MICROS = 8_000_000;
  private static final long TYPES_TIMEOUT_MICROS = 3_000_000;
  private static final int OK = 200;

  /** Fraction of its share of the cloud's rate limit that a controller uses. */
  private static final double RATE_FACTOR = 0.9;

  /** Size of a burst, in seconds' worth of the controller's share. */
  private static final double BURST_SECONDS = 1.8;

  /** Number of calls that listing instances leaves available for scaling. */
  private static final double RESERVED_CALLS = 1;

  private final String address;
  private final Outbox outbox;
  private final FleetClock clock;
  private final TokenBucket tokens;

  CloudClient(Settings settings, Outbox outbox, FleetClock clock) {
    this.address = settings.cloudAddress();
    this.outbox = outbox;
    this.clock = clock;
    double callsPerSecond = settings.cloudLimits().requestsPerSecond() / settings.nodes().size();
    this.tokens = new TokenBucket(callsPerSecond * RATE_FACTOR, callsPerSecond * BURST_SECONDS);
  }

  /** Receives the machine types; empty if the cloud didn't list them. */
  interface MachineTypesHandler {
    void onReply(Optional<List<MachineType>> types);
  }

  /** Receives a page of the list of instances; empty if the cloud didn't list them. */
  interface InstancePageHandler {
    void onReply(Optional<CloudCodec.InstancePage> page);
  }

  /** Receives the answer to a scale-out request. */
  interface ScaleOutHandler {
    void onReply(CloudCodec.ScaleOutResponse response);
  }

  /** Receives the outcome of a release. */
  interface ReleaseHandler {
    void onReply(boolean released);
  }

  /** Returns the number of calls that the rate limit allows at this time. */
  int availableCalls() {
    return (int) tokens.available(0, clock.nowMicros());
  }

  /** Requests the machine types. */
  boolean listMachineTypes(MachineTypesHandler handler) {
    if (!tokens.tryAcquire(1, 0, clock.nowMicros())) {
      return false;
    }
    outbox.call(
        address,
        "GET",
        CloudCodec.MACHINE_TYPES_PATH,
        null,
        TYPES_TIMEOUT_MICROS,
        reply ->
            handler.onReply(
                reply.status() == OK
                    ? Optional.of(CloudCodec.machineTypes(reply))
                    : Optional.empty()));
    return true;
  }

  /**
   * Requests a page of the list: the instances after a host, or the first instances if {@code
   * afterHost} is empty.
   */
  boolean listInstances(String afterHost, InstancePageHandler handler) {
    if (!tokens.tryAcquire(1, RESERVED_CALLS, clock.nowMicros())) {
      return false;
    }
    outbox.call(
        address,
        "GET",
        CloudCodec.instancePagePath(afterHost),
        null,
        CALL_TIMEOUT_MICROS,
        reply ->
            handler.onReply(
                reply.status() == OK
                    ? Optional.of(CloudCodec.instancePage(reply))
                    : Optional.empty()));
    return true;
  }

  /** Sends a scale-out request for the first time. */
  boolean scaleOut(ScaleOutRequest request, ScaleOutHandler handler) {
    if (!tokens.tryAcquire(1, 0, clock.nowMicros())) {
      return false;
    }
    callScaleOut(request, handler);
    return true;
  }

  /** Sends a scale-out request again. A retry must not wait, so it may exceed the rate limit. */
  void retryScaleOut(ScaleOutRequest request, ScaleOutHandler handler) {
    tokens.forceAcquire(1, clock.nowMicros());
    callScaleOut(request, handler);
  }

  private void callScaleOut(ScaleOutRequest request, ScaleOutHandler handler) {
    outbox.call(
        address,
        "POST",
        CloudCodec.INSTANCES_PATH,
        CloudCodec.scaleOutRequest(request),
        CALL_TIMEOUT_MICROS,
        reply -> handler.onReply(CloudCodec.scaleOutResponse(reply)));
  }

  /** Releases instances. */
  boolean release(List<String> hosts, ReleaseHandler handler) {
    if (!tokens.tryAcquire(1, 0, clock.nowMicros())) {
      return false;
    }
    outbox.call(
        address,
        "POST",
        CloudCodec.RELEASE_PATH,
        CloudCodec.releaseRequest(hosts),
        CALL_TIMEOUT_MICROS,
        reply -> handler.onReply(reply.status() == OK));
    return true;
  }
}
