package gladeknot.fleet;

import gladeknot.settings.Settings;
import gladeknot.workers.Worker;

/** From when on a worker isn't counted on, or is given up. */
final class WorkerHealth {
  /** Failures in a row after which a worker gets no new tasks and is released. */
  static final int MAX_CONSECUTIVE_FAILURES = 4;

  /** A worker whose last heartbeat is older is not counted on. */
  static final long HEARTBEAT_TIMEOUT_MICROS = 8_000_000;

  private static final long MIN_RETURN_GRACE_MICROS = 10_000_000;
  private static final int RETURN_GRACE_HEARTBEATS = 4;

  /** A worker without heartbeats for so many leases is given up. */
  private static final int LOSS_LEASES = 3;

  private final Settings settings;

  WorkerHealth(Settings settings) {
    this.settings = settings;
  }

  /**
   * How long after a restart of its controller a worker may take to return. It does so only once
   * others have ceased to answer it, a lease and some heartbeats later: with a shorter time healthy
   * workers were released with their tasks, and others requested in their place.
   */
  long returnGraceMicros() {
    Settings.Workers limits = settings.workers();
    long grace = limits.leaseMicros() + RETURN_GRACE_HEARTBEATS * limits.heartbeatMicros();
    return Math.max(grace, MIN_RETURN_GRACE_MICROS);
  }

  /** How long a worker may send no heartbeats before it is given up. */
  long lossTimeoutMicros() {
    return settings.workers().leaseMicros() * LOSS_LEASES;
  }

  /** Whether a worker that has sent heartbeats has missed too many of them to be counted on. */
  static boolean timedOut(Worker worker, long nowMicros) {
    return nowMicros - worker.heartbeatMicros() > HEARTBEAT_TIMEOUT_MICROS;
  }
}
