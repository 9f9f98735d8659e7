package gladeknot.fleet;

import gladeknot.membership.Membership;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;

/**
 * Builds forecasts of the machines of all shards from the watch cache and the workers' heartbeats.
 */
final class ForecastBuilder {
  /**
   * Minimum delay before a worker of an owned shard that has sent no heartbeat is assumed to be
   * available, even if it should be up by now.
   */
  private static final long MIN_START_DELAY_MICROS = 1_000_000;

  /** Number of boot times after which a worker without heartbeats is overdue. */
  private static final int OVERDUE_BOOTS = 2;

  private final Membership membership;
  private final WorkerRegistry workers;
  private final InstanceCatalog catalog;
  private final ScaleOutRequests requests;
  private final SchedulerView scheduler;
  private final WorkerHealth health;
  private final FleetClock clock;

  ForecastBuilder(
      Membership membership,
      WorkerRegistry workers,
      InstanceCatalog catalog,
      ScaleOutRequests requests,
      SchedulerView scheduler,
      WorkerHealth health,
      FleetClock clock) {
    this.membership = membership;
    this.workers = workers;
    this.catalog = catalog;
    this.requests = requests;
    this.scheduler = scheduler;
    this.health = health;
    this.clock = clock;
  }

  /**
   * Builds a forecast as of now, with the registered workers that can be counted on and the
   * instances in flight.
   */
  Forecast build() {
    Forecast forecast = new Forecast();
    for (Worker worker : workers.all()) {
      MachineType type = catalog.type(worker.type());
      if (type != null && worker.isExpectedToStay()) {
        long fromMicros = availableFromMicros(worker, type);
        if (fromMicros != Forecast.NEVER_MICROS) {
          add(forecast, worker, type, fromMicros);
        }
      }
    }
    for (ScaleOutRequest request : requests.inFlight()) {
      for (int i = 0; i < request.count(); i++) {
        forecast.add(
            MachineTimeline.ofRequested(request.offering(), request.shard(), clock.nowMicros()));
      }
    }
    return forecast;
  }

  /**
   * Returns the time from which a worker can be counted on, by the steady clock; {@link
   * Forecast#NEVER_MICROS} if it can't.
   */
  private long availableFromMicros(Worker worker, MachineType type) {
    boolean owned = membership.ownedShards().contains(worker.shard());
    if (owned && worker.heartbeat() != null) {
      return isUsable(worker) ? clock.nowMicros() : Forecast.NEVER_MICROS;
    }
    if (!worker.attempts().isEmpty()) {
      return clock.nowMicros();
    }
    long ageMicros = clock.wallMicros() - worker.launchedWallMicros();
    if (owned && isOverdue(worker, type, ageMicros)) {
      return Forecast.NEVER_MICROS;
    }
    long minDelayMicros = owned ? MIN_START_DELAY_MICROS : 0;
    return clock.nowMicros() + Math.max(minDelayMicros, type.bootMicros() - ageMicros);
  }

  private boolean isUsable(Worker worker) {
    return !worker.isCordoned()
        && !worker.unreachable()
        && !WorkerHealth.timedOut(worker, clock.nowMicros());
  }

  /**
   * Returns whether a worker of an owned shard that has sent no heartbeats is overdue, that is,
   * whether its machine should have booted long ago.
   */
  private boolean isOverdue(Worker worker, MachineType type, long ageMicros) {
    long overdueAgeMicros =
        OVERDUE_BOOTS * type.bootMicros() + WorkerHealth.HEARTBEAT_TIMEOUT_MICROS;
    long ownedMicros = clock.nowMicros() - membership.ownedSinceMicros(worker.shard());
    return ageMicros > overdueAgeMicros && ownedMicros > health.returnGraceMicros();
  }

  private void add(Forecast forecast, Worker worker, MachineType type, long fromMicros) {
    MachineTimeline machine =
        new MachineTimeline(
            type, worker.zone(), worker.spot(), worker.shard(), fromMicros, worker.cachedImages());
    for (Attempt attempt : worker.attempts().values()) {
      if (!attempt.closed()) {
        Slice slice = attempt.slice();
        forecast.addRunning(
            new Forecast.RunningTask(
                scheduler.priority(attempt),
                machine,
                fromMicros,
                scheduler.expectedEndMicros(attempt),
                slice.cpus(),
                slice.gpus(),
                slice.memory()));
      }
    }
    forecast.add(machine);
  }
}
