package gladeknot.fleet;

import gladeknot.commit.TransactionCommitter;
import gladeknot.jobs.Job;
import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.WorkerRegistry;
import java.util.List;

/** The fleet of machines: wires its components and runs each of them at its interval. */
public final class Fleet {
  private static final long STEP_INTERVAL_MICROS = 800_000;
  private static final long PLAN_INTERVAL_MICROS = 2_000_000;

  /**
   * Number of machines up to which the rounds over the whole fleet run at the intervals above. For
   * a larger fleet the intervals grow in proportion, so that the cost per second stays the same.
   * Longer intervals do little harm: a machine takes many times as long to boot.
   */
  private static final double REFERENCE_FLEET_SIZE = 180;

  private static final double MAX_INTERVAL_FACTOR = 8;

  private final Policy policy;
  private final StateStore stateStore;
  private final WorkerRegistry workers;
  private final InstanceCatalog catalog;
  private final SchedulerView scheduler;
  private final FleetClock clock = new FleetClock();
  private final CatalogRefresh catalogRefresh;
  private final OfferingSelector selector;
  private final ScaleIn scaleIn;
  private final ReactiveScaleOut reactiveScaleOut;
  private final IdleMachineTransfer transfer;
  private final CapacityPlanner planner;
  private final UnregisteredInstances unregistered;

  private long nextStepMicros;
  private long nextScaleOutMicros;
  private long nextPlanMicros;
  private double intervalFactor = 1;

  /**
   * Creates a fleet without known machine types. They are requested from the cloud first and kept
   * in the catalogue.
   */
  public Fleet(
      Settings settings,
      Policy policy,
      StateStore stateStore,
      Membership membership,
      WorkerRegistry workers,
      TransactionCommitter committer,
      TaskLifecycle lifecycle,
      Outbox outbox,
      InstanceCatalog catalog,
      SchedulerView scheduler) {
    this.policy = policy;
    this.stateStore = stateStore;
    this.workers = workers;
    this.catalog = catalog;
    this.scheduler = scheduler;
    CloudClient cloud = new CloudClient(settings, outbox, clock);
    catalogRefresh = new CatalogRefresh(catalog, cloud, clock, lifecycle);
    selector = new OfferingSelector(catalog, policy, workers, cloud, clock);
    WorkerRecords records = new WorkerRecords(committer);
    WorkerHealth health = new WorkerHealth(settings);
    WorkerRegistration registration =
        new WorkerRegistration(membership, workers, records, lifecycle, catalog, clock);
    ScaleOutRequests requests =
        new ScaleOutRequests(
            settings, membership, cloud, clock, registration, this::rescheduleRounds);
    PlanningLimits limits = new PlanningLimits(workers, requests);
    StartDeadlines deadlines = new StartDeadlines(settings, policy, catalog, scheduler, clock);
    ForecastBuilder forecasts =
        new ForecastBuilder(membership, workers, catalog, requests, scheduler, health, clock);
    scaleIn =
        new ScaleIn(policy, membership, workers, records, lifecycle, cloud, catalog, health, clock);
    reactiveScaleOut =
        new ReactiveScaleOut(
            policy, catalog, selector, requests, limits, forecasts, deadlines, scheduler, clock);
    transfer = new IdleMachineTransfer(membership, workers, records, catalog, scheduler);
    planner = planner(membership, requests, limits, deadlines);
    unregistered =
        new UnregisteredInstances(
            settings, membership, workers, cloud, clock, registration, scaleIn);
  }

  private CapacityPlanner planner(
      Membership membership,
      ScaleOutRequests requests,
      PlanningLimits limits,
      StartDeadlines deadlines) {
    return new CapacityPlanner(
        policy,
        membership,
        workers,
        catalog,
        selector,
        requests,
        limits,
        scheduler,
        new CapacityTargets(policy, catalog, scheduler, deadlines),
        clock);
  }

  /**
   * Advances the clock and runs the rounds that are due.
   *
   * @param nowMicros the time of the steady clock, in microseconds
   * @param wallMicros the time of day, in microseconds since the epoch
   */
  public void tick(long nowMicros, long wallMicros) {
    clock.advance(nowMicros, wallMicros);
    catalogRefresh.tick();
    if (nowMicros < nextStepMicros || !stateStore.loaded() || !catalog.isKnown()) {
      return;
    }
    nextStepMicros = nowMicros + STEP_INTERVAL_MICROS;
    intervalFactor =
        Math.max(1, Math.min(MAX_INTERVAL_FACTOR, workers.all().size() / REFERENCE_FLEET_SIZE));
    selector.countMachinesByZone();
    scaleIn.step();
    if (nowMicros >= nextScaleOutMicros) {
      nextScaleOutMicros =
          nowMicros + (long) (STEP_INTERVAL_MICROS * intervalFactor) - STEP_INTERVAL_MICROS / 2;
      scaleOut();
    }
    if (nowMicros >= nextPlanMicros) {
      nextPlanMicros = nowMicros + (long) (PLAN_INTERVAL_MICROS * intervalFactor);
      planner.run();
    }
    unregistered.step();
  }

  /**
   * Serves the pending tasks: requests instances for those of the owned shards, and transfers idle
   * machines to other shards.
   */
  private void scaleOut() {
    List<SchedulerView.PendingTasks> queue = scheduler.pendingTasks();
    int pendingCount = 0;
    for (SchedulerView.PendingTasks pending : queue) {
      pendingCount += pending.count();
    }
    policy.setLoad(workers.all().size(), pendingCount);
    reactiveScaleOut.run(queue);
    transfer.run(queue);
  }

  /**
   * Brings the next rounds forward after a failed scale-out request, so that the next best offering
   * is tried soon.
   */
  private void rescheduleRounds() {
    long nowMicros = clock.nowMicros();
    nextStepMicros = 0;
    long scaleOutMicros = nowMicros + (long) (STEP_INTERVAL_MICROS * (intervalFactor - 1));
    nextScaleOutMicros = Math.min(nextScaleOutMicros, scaleOutMicros);
    long planMicros = nowMicros + (long) (STEP_INTERVAL_MICROS * intervalFactor / 2);
    nextPlanMicros = Math.min(nextPlanMicros, planMicros);
  }

  /** Adds a newly arrived job to the arrivals from which the expected load is computed. */
  public void onJobArrival(Job job) {
    planner.onJobArrival(job);
  }

  /** Registers a machine that sends heartbeats but is not registered. */
  public void registerUnknownWorker(Heartbeat heartbeat) {
    unregistered.onHeartbeat(heartbeat);
  }
}
