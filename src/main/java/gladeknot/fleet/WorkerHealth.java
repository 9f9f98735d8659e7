package gladeknot.fleet;

import gladeknot.settings.Settings;
import gladeknot.workers.Worker;

/** Decides when a worker is no longer counted on and when it is considered lost. */
final class WorkerHealth {
  /** Age of the last heartbeat beyond which a worker is not counted on, in microseconds. */
  static final long HEARTBEAT_TIMEOUT_MICROS = 8_000_000;

  private static final long MIN_RETURN_GRACE_MICROS = 10_000_000;
  private static final int RETURN_GRACE_HEARTBEATS = 4;

  /** Number of leases without a heartbeat after which a worker is considered lost. */
  private static final int LOSS_TIMEOUT_LEASES = 3;

  private final Settings settings;

  WorkerHealth(Settings settings) {
    this.settings = settings;
  }

  /**
   * Returns the grace period, in microseconds, in which a worker may return after a restart of its
   * controller. A worker returns only once the other controllers have ceased to answer it, which
   * takes a lease and some heartbeats. With a shorter period, healthy workers were released with
   * their tasks, and other instances were requested in their place.
   */
  long returnGraceMicros() {
    Settings.Workers workerSettings = settings.workers();
    long graceMicros =
        workerSettings.leaseMicros() + RETURN_GRACE_HEARTBEATS * workerSettings.heartbeatMicros();
    return Math.max(graceMicros, MIN_RETURN_GRACE_MICROS);
  }

  /**
   * Returns the time without heartbeats after which a worker is considered lost, in microseconds.
   */
  long lossTimeoutMicros() {
    return settings.workers().leaseMicros() * LOSS_TIMEOUT_LEASES;
  }

  /**
   * Returns whether the last heartbeat of a worker is too old for the worker to be counted on. The
   * worker must have sent a heartbeat.
   */
  static boolean timedOut(Worker worker, long nowMicros) {
    return nowMicros - worker.heartbeatMicros() > HEARTBEAT_TIMEOUT_MICROS;
  }
}
