package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One round of reactive scale-out: places pending tasks in a forecast and plans the instances that
 * they lack.
 */
final class ScaleOutRound {
  /** Factor applied to estimated run times, since tasks often run longer than estimated. */
  private static final double RUN_PADDING_FACTOR = 1.15;

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
   * Creates a round in which no tasks are placed yet.
   *
   * @param maxTasks the maximum number of tasks to place
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

  /** Returns the instances that the tasks placed so far lack. */
  ScaleOutPlan plan() {
    return plan;
  }

  /**
   * Returns the shard of the last tasks that lacked an instance; {@link Forecast#ANY_SHARD} while
   * the plan is empty.
   */
  int shard() {
    return shard;
  }

  /**
   * Places the pending tasks of one slice. Slices must be placed in the order in which they would
   * be scheduled.
   */
  void place(SchedulerView.PendingTasks pending) {
    // Running tasks of lower priority can be preempted for these tasks. They are admitted later, so
    // that they don't delay these tasks in the forecast.
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
      // A gang needs all its machines in one shard, and in one zone if its tasks are colocated.
      this.gang = spec.shape() == JobSpec.Shape.GANG && pending.count() > 1;
      this.anyZone = !gang && !spec.spread() && !spec.colocated();
      this.tasksByZone = new HashMap<>(pending.tasksByZone());
      if (gang && spec.colocated() && tasksByZone.isEmpty()) {
        tasksByZone.put(zoneForGang(), 0);
      }
      this.search = forecast.search(spec, gang ? pending.shard() : Forecast.ANY_SHARD);
    }

    private String zoneForGang() {
      long atMicros = clock.nowMicros() + policy.micros(Policy.Name.PATIENCE);
      return forecast.zoneWithMostCapacity(spec, pending.shard(), atMicros, catalog.zones());
    }

    private void run() {
      while (placed < pending.count() && placedTasks < maxTasks) {
        MachineTimeline machine =
            pending.starving() ? search.immediate(tasksByZone) : search.earliest(tasksByZone);
        long startMicros = search.startMicros();
        if (pending.owned()) {
          Optional<InstanceOffering> offering = offeringIfLate(machine, startMicros);
          if (offering.isPresent()) {
            machine = planInstance(offering.get());
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

    /**
     * Returns an offering that is of use if the next task would run too late on the given machine,
     * or has no machine; otherwise empty.
     */
    private Optional<InstanceOffering> offeringIfLate(MachineTimeline machine, long startMicros) {
      long runningMicros =
          machine == null ? Forecast.NEVER_MICROS : startMicros + machine.fetchMicros(spec);
      long latestStartMicros =
          deadlines.latestStartMicros(pending.job(), paddedRunMicros(), runningMicros);
      if (runningMicros <= latestStartMicros) {
        return Optional.empty();
      }
      return selector.select(
          new OfferingSelector.InstanceRequest(
              spec, tasksByZone, pending.count() - placed, latestStartMicros, runningMicros),
          plan);
    }

    private long paddedRunMicros() {
      return runMicros < Forecast.NEVER_MICROS
          ? (long) (runMicros * RUN_PADDING_FACTOR)
          : runMicros;
    }

    private MachineTimeline planInstance(InstanceOffering offering) {
      shard = pending.shard();
      plan.add(offering);
      return MachineTimeline.ofRequested(offering, shard, clock.nowMicros());
    }

    /**
     * Places one task. If the tasks may share any machine and zone, places as many as can start on
     * the machine at the same time.
     */
    private void placeOn(MachineTimeline machine, long startMicros) {
      int count = 1;
      if (anyZone) {
        int remaining = Math.min(pending.count() - placed, maxTasks - placedTasks);
        count = (int) Math.max(1, Math.min(remaining, machine.fittingTasks(spec, startMicros)));
      }
      // A gang's tasks run at the same time, so no task can use resources that another task of the
      // gang frees.
      forecast.place(machine, spec, startMicros, gang ? Forecast.NEVER_MICROS : runMicros, count);
      tasksByZone.merge(machine.zone(), count, Integer::sum);
      placed += count;
      placedTasks += count;
    }
  }
}
