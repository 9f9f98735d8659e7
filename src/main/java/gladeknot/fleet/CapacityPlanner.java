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
 * Compares the load to be expected, by the arrivals of late, with the machines there are. What
 * finds no machine is requested ahead, by one controller at a time; machines left empty are
 * surplus.
 */
final class CapacityPlanner {
  /** How long a shard's owner requests ahead before it is the next one's turn. */
  private static final long ROTATION_MICROS = 4_000_000;

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

  /** Notes a job that has arrived; one older than the window doesn't count. */
  void onJobArrival(Job job) {
    if (clock.wallMicros() - job.readyMicros() < policy.micros(Policy.Name.WINDOW)) {
      arrivals.onArrival(job);
    }
  }

  /** Plans anew: requests instances ahead if it is this controller's turn, and marks surplus. */
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
    int shard = (int) (clock.wallMicros() / ROTATION_MICROS % membership.shardCount());
    if (membership.permits(ControlAction.SCALE_OUT, shard)) {
      requests.submit(plan, shard);
    }
  }

  /** The registered workers that stay and the instances in flight, all empty. */
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

  /** Places the expected tasks of a class, on planned instances where no machine takes them. */
  private void placeExpected(
      ArrivalRates.ClassLoad load, Capacity capacity, ScaleOutPlan plan, int maxTasks) {
    JobSpec spec = load.example();
    int tasks = (int) Math.ceil(targets.target(load));
    boolean anyZone = !spec.spread() && !spec.colocated();
    int placed = anyZone ? capacity.place(spec, tasks, new HashMap<>()) : 0;
    Map<String, Integer> tasksByZone = new HashMap<>();
    while (placed < tasks && placed < maxTasks) {
      if (placed % Math.max(1, spec.tasks()) == 0) {
        // The next job begins, whose tasks are spread or kept together apart from the last one's.
        tasksByZone.clear();
      }
      if (!anyZone && capacity.place(spec, tasksByZone)) {
        placed++;
        continue;
      }
      int added = placeOnPlanned(spec, tasksByZone, tasks - placed, capacity, plan);
      if (added == 0) {
        return;
      }
      placed += added;
    }
  }

  /** Plans an instance and places tasks on it; returns how many, 0 if no offering helps. */
  private int placeOnPlanned(
      JobSpec spec,
      Map<String, Integer> tasksByZone,
      int remaining,
      Capacity capacity,
      ScaleOutPlan plan) {
    Optional<InstanceOffering> offering =
        selector.select(
            new OfferingSelector.InstanceRequest(
                spec, tasksByZone, remaining, Forecast.NEVER, Forecast.NEVER),
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
