package gladeknot.connectivity;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Probes whether a shard's workers can reach its home controller again, before the shard returns to
 * it. One worker, the canary, is redirected to the home controller, which redirects it back because
 * it does not own the shard. If the canary is back before a worker's response timeout, the link
 * between the worker and the home controller works in both directions.
 */
final class CanaryProbe {
  /** A worker's response timeout; a canary that is back earlier has received a response. */
  private static final long RESPONSE_TIMEOUT_MICROS = 4_000_000;

  /** Time after which a canary that is not back counts as lost. */
  private static final long CANARY_TIMEOUT_MICROS = 15_000_000;

  /** Time during which only a worker without tasks is selected as the canary. */
  private static final long IDLE_PREFERENCE_MICROS = 3_000_000;

  /** Time for which a successful probe remains valid. */
  private static final long SUCCESS_VALIDITY_MICROS = 5_000_000;

  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;

  /** The probe of one shard: requested, then with a canary redirected, then succeeded. */
  private static final class Probe {
    private final long requestedMicros;
    private String canary;
    private long redirectedMicros = NEVER_MICROS;
    private long succeededMicros = NEVER_MICROS;

    private Probe(long requestedMicros) {
      this.requestedMicros = requestedMicros;
    }

    private boolean succeeded() {
      return succeededMicros != NEVER_MICROS;
    }
  }

  private final Map<Integer, Probe> probes = new HashMap<>();
  private long nowMicros;

  /** Advances the time; returns a shard whose canary is lost, if there is one. */
  OptionalInt tick(long steadyMicros) {
    nowMicros = steadyMicros;
    for (Map.Entry<Integer, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      if (probe.canary != null && steadyMicros - probe.redirectedMicros > CANARY_TIMEOUT_MICROS) {
        probes.remove(entry.getKey());
        return OptionalInt.of(entry.getKey());
      }
    }
    return OptionalInt.empty();
  }

  /** Returns whether a shard's probe succeeded recently; requests a probe if there is none. */
  boolean succeeded(int shard) {
    Probe probe = probes.get(shard);
    if (probe == null) {
      probes.put(shard, new Probe(nowMicros));
      return false;
    }
    if (!probe.succeeded()) {
      return false;
    }
    if (nowMicros - probe.succeededMicros > SUCCESS_VALIDITY_MICROS) {
      probes.remove(shard);
      return false;
    }
    return true;
  }

  /** Returns whether the sender of a heartbeat is selected as the canary, to be redirected. */
  boolean selectAsCanary(int shard, String host, boolean idle) {
    Probe probe = probes.get(shard);
    if (probe == null || probe.canary != null || probe.succeeded()) {
      return false;
    }
    if (!idle && nowMicros - probe.requestedMicros < IDLE_PREFERENCE_MICROS) {
      return false;
    }
    probe.canary = host;
    probe.redirectedMicros = nowMicros;
    return true;
  }

  /** Handles a heartbeat; returns whether its sender is the canary and came back too late. */
  boolean onHeartbeat(int shard, String host) {
    Probe probe = probes.get(shard);
    if (probe == null || !host.equals(probe.canary)) {
      return false;
    }
    if (nowMicros - probe.redirectedMicros < RESPONSE_TIMEOUT_MICROS) {
      probe.canary = null;
      probe.succeededMicros = nowMicros;
      return false;
    }
    probes.remove(shard);
    return true;
  }

  /** Ends the probe of a shard that is no longer owned. */
  void remove(int shard) {
    probes.remove(shard);
  }
}
