package gladeknot.connectivity;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Probes whether a shard's workers can reach its home controller again, before the shard returns
 * there. One worker, the canary, is redirected to the home, which redirects it back since it does
 * not own the shard. If the canary is back sooner than a worker waits for an answer, it has got
 * through in both directions.
 */
final class CanaryProbe {
  /** A worker waits so long for an answer; a canary that is back by then has had one. */
  private static final long ANSWER_WAIT_MICROS = 4_000_000;

  /** After so long a canary is taken as lost. */
  private static final long LOST_MICROS = 15_000_000;

  /** For so long a worker without tasks is preferred as the canary. */
  private static final long IDLE_WAIT_MICROS = 3_000_000;

  /** For so long a probe that succeeded counts. */
  private static final long VALID_MICROS = 5_000_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** The probe of one shard: first wanted, then with a canary on its way, then succeeded. */
  private static final class Probe {
    private final long wantedMicros;
    private String canary;
    private long redirectedMicros = NEVER;
    private long succeededMicros = NEVER;

    private Probe(long wantedMicros) {
      this.wantedMicros = wantedMicros;
    }

    private boolean succeeded() {
      return succeededMicros != NEVER;
    }
  }

  private final Map<Integer, Probe> probes = new HashMap<>();
  private long nowMicros;

  /** Advances the time; returns a shard whose canary is lost, if there is one. */
  OptionalInt tick(long now) {
    nowMicros = now;
    for (Map.Entry<Integer, Probe> entry : probes.entrySet()) {
      Probe probe = entry.getValue();
      if (probe.canary != null && now - probe.redirectedMicros > LOST_MICROS) {
        probes.remove(entry.getKey());
        return OptionalInt.of(entry.getKey());
      }
    }
    return OptionalInt.empty();
  }

  /**
   * Whether a shard's probe succeeded recently; if there is no probe, one is wanted from now on.
   */
  boolean succeeded(int shard) {
    Probe probe = probes.get(shard);
    if (probe == null) {
      probes.put(shard, new Probe(nowMicros));
      return false;
    }
    if (!probe.succeeded()) {
      return false;
    }
    if (nowMicros - probe.succeededMicros > VALID_MICROS) {
      probes.remove(shard);
      return false;
    }
    return true;
  }

  /** Whether a worker that sends a heartbeat is to be the canary; it is redirected if so. */
  boolean selectAsCanary(int shard, String host, boolean idle) {
    Probe probe = probes.get(shard);
    if (probe == null || probe.canary != null || probe.succeeded()) {
      return false;
    }
    if (!idle && nowMicros - probe.wantedMicros < IDLE_WAIT_MICROS) {
      return false;
    }
    probe.canary = host;
    probe.redirectedMicros = nowMicros;
    return true;
  }

  /** A worker sends a heartbeat; returns whether it is the canary and has come back too late. */
  boolean failedBy(int shard, String host) {
    Probe probe = probes.get(shard);
    if (probe == null || !host.equals(probe.canary)) {
      return false;
    }
    if (nowMicros - probe.redirectedMicros < ANSWER_WAIT_MICROS) {
      probe.canary = null;
      probe.succeededMicros = nowMicros;
      return false;
    }
    probes.remove(shard);
    return true;
  }

  /** The shard is not owned any more. */
  void forget(int shard) {
    probes.remove(shard);
  }
}
