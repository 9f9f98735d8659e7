package gladeknot.fleet;

import gladeknot.policy.Policy;
import java.util.List;

/**
 * Requests instances for pending tasks of the owned shards that would start too late on the
 * existing machines and the instances in flight.
 */
final class ReactiveScaleOut {
  private final Policy policy;
  private final InstanceCatalog catalog;
  private final OfferingSelector selector;
  private final ScaleOutRequests requests;
  private final PlanningLimits limits;
  private final ForecastBuilder forecasts;
  private final StartDeadlines deadlines;
  private final SchedulerView scheduler;
  private final FleetClock clock;

  ReactiveScaleOut(
      Policy policy,
      InstanceCatalog catalog,
      OfferingSelector selector,
      ScaleOutRequests requests,
      PlanningLimits limits,
      ForecastBuilder forecasts,
      StartDeadlines deadlines,
      SchedulerView scheduler,
      FleetClock clock) {
    this.policy = policy;
    this.catalog = catalog;
    this.selector = selector;
    this.requests = requests;
    this.limits = limits;
    this.forecasts = forecasts;
    this.deadlines = deadlines;
    this.scheduler = scheduler;
    this.clock = clock;
  }

  /** Places the pending tasks in a forecast and requests the instances that they lack. */
  void run(List<SchedulerView.PendingTasks> queue) {
    int lastOwnedIndex = lastOwnedIndex(queue);
    if (lastOwnedIndex < 0 || !catalog.anyAvailable(clock.nowMicros())) {
      return;
    }
    ScaleOutRound round =
        new ScaleOutRound(
            policy,
            catalog,
            selector,
            deadlines,
            scheduler,
            clock,
            forecasts.build(),
            limits.maxTasks());
    // Tasks after the last ones of an owned shard are scheduled later and take nothing from them.
    for (SchedulerView.PendingTasks pending : queue.subList(0, lastOwnedIndex + 1)) {
      round.place(pending);
    }
    requests.submit(round.plan(), round.shard());
  }

  /** Returns the index of the last pending tasks of an owned shard; -1 if there are none. */
  private static int lastOwnedIndex(List<SchedulerView.PendingTasks> queue) {
    int index = queue.size() - 1;
    while (index >= 0 && !queue.get(index).owned()) {
      index--;
    }
    return index;
  }
}
