package gladeknot.fleet;

import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import gladeknot.state.TokenBucket;
import gladeknot.workers.MachineType;
import java.util.List;
import java.util.Optional;

/**
 * Calls to the cloud, within this controller's share of the cloud's rate limit. Methods that return
 * a boolean return false, and call nothing, while the share is used up.
 */
final class CloudClient {
  private static final long CALL_TIMEOUT_MICROS = 8_000_000;
  private static final long TYPES_TIMEOUT_MICROS = 3_000_000;
  private static final int OK = 200;

  /** How much of its share of the cloud's limit a controller uses, and its burst in seconds. */
  private static final double RATE_FACTOR = 0.9;

  private static final double BURST_FACTOR = 1.8;

  /** Calls kept back for scaling while instances are listed. */
  private static final double RESERVED_CALLS = 1;

  private final String address;
  private final Outbox outbox;
  private final FleetClock clock;
  private final TokenBucket tokens;

  CloudClient(Settings settings, Outbox outbox, FleetClock clock) {
    this.address = settings.cloudAddress();
    this.outbox = outbox;
    this.clock = clock;
    double callsPerS = settings.cloudLimits().rps() / settings.nodes().size();
    this.tokens = new TokenBucket(callsPerS * RATE_FACTOR, callsPerS * BURST_FACTOR);
  }

  /** Takes the machine types; empty if the cloud didn't list them. */
  interface MachineTypesHandler {
    void onReply(Optional<List<MachineType>> types);
  }

  /** Takes a page of the list of instances; empty if the cloud didn't list them. */
  interface InstancePageHandler {
    void onReply(Optional<CloudCodec.InstancePage> page);
  }

  /** Takes the answer to a scale-out request. */
  interface ScaleOutHandler {
    void onReply(CloudCodec.ScaleOutResponse response);
  }

  /** Takes the outcome of a release. */
  interface ReleaseHandler {
    void onReply(boolean released);
  }

  /** How many calls could be made at once now. */
  int availableCalls() {
    return (int) tokens.available(0, clock.nowMicros());
  }

  /** Asks for the machine types. */
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

  /** Asks for the instances after a host in the order of the list, the first ones if empty. */
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

  /** Sends a scale-out request again; it must not wait, so it may overdraw the rate limit. */
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
