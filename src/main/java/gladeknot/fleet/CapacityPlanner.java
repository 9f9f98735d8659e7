package gladeknot.fleet;

import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.policy.Policy;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Compares the load expected from recent arrivals with the existing machines and the instances in
 * flight. Instances for expected tasks that fit no machine are requested ahead, by one controller
 * at a time. Machines that stay empty are marked as surplus.
 */
final class CapacityPlanner {
  /** Time for which a shard's owner requests ahead, before it is the next shard's turn. */
  private static final long ROTATION_INTERVAL_MICROS = 4_000_000;

  private final Policy policy;
  private final Membership membership;
  private final WorkerRegistry workers;
  private final InstanceCatalog catalog;
  private final OfferingSelector selector;
  private final ScaleOutRequests requests;
  private final PlanningLimits limits;
  private final SchedulerView scheduler;
  private final CapacityTargets targets;
  private final FleetClock clock;
  private final ArrivalRates arrivals = new ArrivalRates();

  CapacityPlanner(
      Policy policy,
      Membership membership,
      WorkerRegistry workers,
      InstanceCatalog catalog,
      OfferingSelector selector,
      ScaleOutRequests requests,
      PlanningLimits limits,
      SchedulerView scheduler,
      CapacityTargets targets,
      FleetClock clock) {
    this.policy = policy;
    this.membership = membership;
    this.workers = workers;
    this.catalog = catalog;
    this.selector = selector;
    this.requests = requests;
    this.limits = limits;
    this.scheduler = scheduler;
    this.targets = targets;
    this.clock = clock;
  }

  /** Records the arrival of a job. A job that became ready before the window is ignored. */
  void onJobArrival(Job job) {
    if (clock.wallMicros() - job.readyMicros() < policy.micros(Policy.Name.WINDOW)) {
      arrivals.onArrival(job);
    }
  }

  /**
   * Computes a new plan, marks surplus workers, and requests the planned instances if it is this
   * controller's turn.
   */
  void run() {
    Capacity capacity = currentCapacity();
    for (Job service : scheduler.services()) {
      capacity.place(service.spec(), service.tasks(), new HashMap<>());
    }
    ScaleOutPlan plan = new ScaleOutPlan();
    int maxTasks = limits.maxTasks();
    for (ArrivalRates.ClassLoad load : loadsByPriority()) {
      placeExpected(load, capacity, plan, maxTasks);
    }
    markSurplus(capacity);
    int shard = (int) (clock.wallMicros() / ROTATION_INTERVAL_MICROS % membership.shardCount());
    if (membership.permits(ControlAction.SCALE_OUT, shard)) {
      requests.submit(plan, shard);
    }
  }

  /** Returns the workers that are expected to stay and the instances in flight, all empty. */
  private Capacity currentCapacity() {
    Capacity capacity = new Capacity();
    for (Worker worker : workers.all()) {
      MachineType type = catalog.type(worker.type());
      if (type != null && worker.isExpectedToStay()) {
        capacity.add(
            MachineBin.ofWorker(
                worker.host(), type, worker.zone(), worker.spot(), scheduler.replicas(worker)));
      }
    }
    for (ScaleOutRequest request : requests.inFlight()) {
      for (int i = 0; i < request.count(); i++) {
        capacity.add(MachineBin.ofRequested(request.offering()));
      }
    }
    capacity.sort();
    return capacity;
  }

  private List<ArrivalRates.ClassLoad> loadsByPriority() {
    long windowMicros = policy.micros(Policy.Name.WINDOW);
    List<ArrivalRates.ClassLoad> loads =
        new ArrayList<>(
            arrivals.loads(clock.wallMicros(), windowMicros, scheduler.estimates()).values());
    loads.sort(Comparator.comparing((ArrivalRates.ClassLoad load) -> load.example().priority()));
    return loads;
  }

  /** Places the expected tasks of a class. Plans instances for tasks that no machine takes. */
  private void placeExpected(
      ArrivalRates.ClassLoad load, Capacity capacity, ScaleOutPlan plan, int maxTasks) {
    JobSpec spec = load.example();
    int tasks = (int) Math.ceil(targets.target(load));
    boolean anyZone = !spec.spread() && !spec.colocated();
    int placed = anyZone ? capacity.place(spec, tasks, new HashMap<>()) : 0;
    Map<String, Integer> tasksByZone = new HashMap<>();
    while (placed < tasks && placed < maxTasks) {
      if (placed % Math.max(1, spec.tasks()) == 0) {
        // The next job begins. Its tasks are spread or colocated independently of the previous job.
        tasksByZone.clear();
      }
      if (!anyZone && capacity.place(spec, tasksByZone)) {
        placed++;
        continue;
      }
      int added = placeOnPlannedInstance(spec, tasksByZone, tasks - placed, capacity, plan);
      if (added == 0) {
        return;
      }
      placed += added;
    }
  }

  /**
   * Plans an instance and places tasks on it. Returns the number of placed tasks; 0 if no offering
   * is suitable.
   */
  private int placeOnPlannedInstance(
      JobSpec spec,
      Map<String, Integer> tasksByZone,
      int remaining,
      Capacity capacity,
      ScaleOutPlan plan) {
    Optional<InstanceOffering> offering =
        selector.select(
            new OfferingSelector.InstanceRequest(
                spec, tasksByZone, remaining, Forecast.NEVER_MICROS, Forecast.NEVER_MICROS),
            plan);
    if (offering.isEmpty()) {
      return 0;
    }
    plan.add(offering.get());
    MachineBin bin = MachineBin.ofRequested(offering.get());
    capacity.add(bin);
    boolean anyZone = !spec.spread() && !spec.colocated();
    return capacity.fill(bin, spec, tasksByZone, anyZone ? remaining : 1);
  }

  private void markSurplus(Capacity capacity) {
    for (MachineBin bin : capacity.bins()) {
      Worker worker = workers.get(bin.host());
      if (worker != null) {
        worker.setSurplus(!bin.used());
      }
    }
  }
}
