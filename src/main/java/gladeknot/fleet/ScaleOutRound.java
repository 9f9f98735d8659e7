package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** One round of reactive scale-out: the forecast that pending tasks are placed in, and the plan. */
final class ScaleOutRound {
  /** Tasks often run longer than estimated. */
  private static final double RUN_SAFETY_FACTOR = 1.15;

  private final Policy policy;
  private final InstanceCatalog catalog;
  private final OfferingSelector selector;
  private final StartDeadlines deadlines;
  private final SchedulerView scheduler;
  private final FleetClock clock;
  private final Forecast forecast;
  private final int maxTasks;
  private final ScaleOutPlan plan = new ScaleOutPlan();
  private int shard = Forecast.ANY_SHARD;
  private int placedTasks;

  /**
   * A round without pending tasks so far.
   *
   * @param maxTasks how many tasks are placed at most
   */
  ScaleOutRound(
      Policy policy,
      InstanceCatalog catalog,
      OfferingSelector selector,
      StartDeadlines deadlines,
      SchedulerView scheduler,
      FleetClock clock,
      Forecast forecast,
      int maxTasks) {
    this.policy = policy;
    this.catalog = catalog;
    this.selector = selector;
    this.deadlines = deadlines;
    this.scheduler = scheduler;
    this.clock = clock;
    this.forecast = forecast;
    this.maxTasks = maxTasks;
  }

  /** The instances that the tasks placed so far lack. */
  ScaleOutPlan plan() {
    return plan;
  }

  /** The shard of the last tasks that lacked an instance; no shard while the plan is empty. */
  int shard() {
    return shard;
  }

  /** Places pending tasks, after those that would be scheduled before them. */
  void place(SchedulerView.PendingTasks pending) {
    // Running tasks that can be preempted for these don't hinder them: they are admitted later.
    forecast.admit(pending.job().spec().priority());
    new Placement(pending).run();
  }

  /** The placement of one slice's pending tasks. */
  private final class Placement {
    private final SchedulerView.PendingTasks pending;
    private final JobSpec spec;
    private final long runMicros;
    private final boolean gang;
    private final boolean anyZone;
    private final Map<String, Integer> tasksByZone;
    private final ForecastSearch search;
    private int placed;

    private Placement(SchedulerView.PendingTasks pending) {
      this.pending = pending;
      this.spec = pending.job().spec();
      this.runMicros = scheduler.estimates().runMicros(spec);
      // A gang needs all its machines in one shard, and in one zone if its tasks stay together.
      this.gang = spec.shape() == JobSpec.Shape.GANG && pending.count() > 1;
      this.anyZone = !gang && !spec.spread() && !spec.colocated();
      this.tasksByZone = new HashMap<>(pending.tasksByZone());
      if (gang && spec.colocated() && tasksByZone.isEmpty()) {
        tasksByZone.put(zoneForGang(), 0);
      }
      this.search = forecast.search(spec, gang ? pending.shard() : Forecast.ANY_SHARD);
    }

    private String zoneForGang() {
      long byMicros = clock.nowMicros() + policy.micros(Policy.Name.PATIENCE);
      return forecast.zoneWithMostCapacity(spec, pending.shard(), byMicros, catalog.zones());
    }

    private void run() {
      while (placed < pending.count() && placedTasks < maxTasks) {
        MachineTimeline machine =
            pending.starved() ? search.immediate(tasksByZone) : search.earliest(tasksByZone);
        long startMicros = search.startMicros();
        if (pending.owned()) {
          Optional<InstanceOffering> offering = offeringIfLate(machine, startMicros);
          if (offering.isPresent()) {
            machine = plan(offering.get());
            startMicros = machine.earliestStartMicros(spec);
            forecast.add(machine);
          }
        }
        if (machine == null) {
          return;
        }
        placeOn(machine, startMicros);
      }
    }

    /** An offering that helps if the next task would start too late on a machine, or on none. */
    private Optional<InstanceOffering> offeringIfLate(MachineTimeline machine, long startMicros) {
      long runningMicros =
          machine == null ? Forecast.NEVER : startMicros + machine.fetchMicros(spec);
      long latestMicros =
          deadlines.latestStartMicros(pending.job(), safeRunMicros(), runningMicros);
      if (runningMicros <= latestMicros) {
        return Optional.empty();
      }
      return selector.select(
          new OfferingSelector.InstanceRequest(
              spec, tasksByZone, pending.count() - placed, latestMicros, runningMicros),
          plan);
    }

    private long safeRunMicros() {
      return runMicros < Forecast.NEVER ? (long) (runMicros * RUN_SAFETY_FACTOR) : runMicros;
    }

    private MachineTimeline plan(InstanceOffering offering) {
      shard = pending.shard();
      plan.add(offering);
      return MachineTimeline.ofRequested(offering, shard, clock.nowMicros());
    }

    /** Places one task, or as many as start on the machine at one time if they may be together. */
    private void placeOn(MachineTimeline machine, long startMicros) {
      int count = 1;
      if (anyZone) {
        int rest = Math.min(pending.count() - placed, maxTasks - placedTasks);
        count = (int) Math.max(1, Math.min(rest, machine.fittingTasks(spec, startMicros)));
      }
      // A gang's tasks run side by side: none of them waits for another's end.
      forecast.place(machine, spec, startMicros, gang ? Forecast.NEVER : runMicros, count);
      tasksByZone.merge(machine.zone(), count, Integer::sum);
      placed += count;
      placedTasks += count;
    }
  }
}
