package gladeknot.fleet;

import gladeknot.policy.Policy;
import java.util.List;

/**
 * Requests instances for pending tasks of the owned shards that would start too late on the
 * machines that are there or were requested.
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

  /** Places the pending tasks in a forecast, and requests the instances that they lack. */
  void run(List<SchedulerView.PendingTasks> queue) {
    int lastOwned = lastOwned(queue);
    if (lastOwned < 0 || !catalog.anyAvailable(clock.nowMicros())) {
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
    // What comes after the last owned tasks takes nothing from them.
    for (SchedulerView.PendingTasks pending : queue.subList(0, lastOwned + 1)) {
      round.place(pending);
    }
    requests.submit(round.plan(), round.shard());
  }

  /** The place of the last tasks of an owned shard; -1 if there are none. */
  private static int lastOwned(List<SchedulerView.PendingTasks> queue) {
    int last = queue.size() - 1;
    while (last >= 0 && !queue.get(last).owned()) {
      last--;
    }
    return last;
  }
}
