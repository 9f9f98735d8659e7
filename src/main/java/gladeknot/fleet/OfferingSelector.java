package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Selects the offering for tasks: in general, the cheapest offering that is up in time. */
final class OfferingSelector {
  /**
   * Penalty per second by which an offering is up too late, in units of the price per hour. It
   * decides when no offering is in time.
   */
  private static final double LATENESS_COST_PER_SECOND = 0.05;

  /** Boot time that doubles the weight of a price, in microseconds. */
  private static final double BOOT_PENALTY_MICROS = 60e6;

  /**
   * Relative increase of the score of a zone's offerings for each machine in the zone. It applies
   * to jobs whose tasks are spread over zones.
   */
  private static final double ZONE_BALANCE_FACTOR = 0.05;

  private static final double MICROS_PER_SECOND = 1e6;

  private final InstanceCatalog catalog;
  private final Policy policy;
  private final WorkerRegistry workers;
  private final CloudClient cloud;
  private final FleetClock clock;
  private final Map<String, Integer> machinesByZone = new HashMap<>();

  OfferingSelector(
      InstanceCatalog catalog,
      Policy policy,
      WorkerRegistry workers,
      CloudClient cloud,
      FleetClock clock) {
    this.catalog = catalog;
    this.policy = policy;
    this.workers = workers;
    this.cloud = cloud;
    this.clock = clock;
  }

  /**
   * Tasks that need an instance.
   *
   * @param spec the job of the tasks
   * @param tasksByZone the number of the job's tasks in each zone
   * @param count the number of tasks that could use the instance
   * @param latestStartMicros the latest time at which the tasks should run, by the steady clock
   * @param fallbackStartMicros when the tasks would run without the instance, by the steady clock;
   *     an instance that can't run them earlier is of no use
   */
  record InstanceRequest(
      JobSpec spec,
      Map<String, Integer> tasksByZone,
      int count,
      long latestStartMicros,
      long fallbackStartMicros) {}

  /**
   * Counts the machines of each zone. Selections use these counts, until the next call, to spread
   * tasks over zones.
   */
  void countMachinesByZone() {
    machinesByZone.clear();
    for (Worker worker : workers.all()) {
      machinesByZone.merge(worker.zone(), 1, Integer::sum);
    }
  }

  /**
   * Returns the offering with the lowest score: in general the cheapest offering that is up in
   * time, or the soonest offering if no offering is in time. Empty if no offering is of use.
   *
   * @param plan the instances planned so far
   */
  Optional<InstanceOffering> select(InstanceRequest request, ScaleOutPlan plan) {
    long nowMicros = clock.nowMicros();
    int maxCount = ScaleOutRequests.MAX_INSTANCES * Math.max(1, cloud.availableCalls());
    double maxGpuPrice = cheapestPriceWithoutGpus(request.spec()) * policy.number(Policy.Name.DEAR);
    InstanceOffering best = null;
    double bestScore = 0;
    for (InstanceOffering offering : catalog.offerings()) {
      if (!isEligible(offering, request, maxGpuPrice) || plan.count(offering) >= maxCount) {
        continue;
      }
      long runningMicros =
          nowMicros + InstanceCatalog.startDelayMicros(request.spec(), offering.type());
      if (runningMicros >= request.fallbackStartMicros()) {
        continue;
      }
      double score = score(offering, request, runningMicros);
      if (best == null || score < bestScore) {
        best = offering;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isEligible(
      InstanceOffering offering, InstanceRequest request, double maxGpuPrice) {
    JobSpec spec = request.spec();
    MachineType type = offering.type();
    if (!type.mayRun(spec) || !offering.isAvailable(clock.nowMicros())) {
      return false;
    }
    boolean leavesGpusIdle = spec.gpus() == 0 && type.gpus() > 0;
    if (leavesGpusIdle && offering.price() / type.fits(spec) > maxGpuPrice) {
      return false;
    }
    return spec.allowsMachine(type.name(), offering.zone(), offering.spot())
        && spec.allowsZone(offering.zone(), request.tasksByZone());
  }

  /**
   * Returns the price per task, weighted by boot time, by lateness and, for spread jobs, by the
   * number of machines in the zone.
   */
  private double score(InstanceOffering offering, InstanceRequest request, long runningMicros) {
    MachineType type = offering.type();
    double score = offering.price() / Math.min(type.fits(request.spec()), request.count());
    score *= 1 + type.bootMicros() / BOOT_PENALTY_MICROS;
    if (runningMicros > request.latestStartMicros()) {
      score +=
          LATENESS_COST_PER_SECOND
              * (runningMicros - request.latestStartMicros())
              / MICROS_PER_SECOND;
    }
    if (request.spec().spread()) {
      score *= 1 + ZONE_BALANCE_FACTOR * machinesByZone.getOrDefault(offering.zone(), 0);
    }
    return score;
  }

  /** Returns the price per task and hour of the cheapest on-demand machine without GPUs. */
  private double cheapestPriceWithoutGpus(JobSpec spec) {
    double cheapest = Double.MAX_VALUE;
    for (MachineType type : catalog.types()) {
      if (type.gpus() == 0 && type.mayRun(spec)) {
        cheapest = Math.min(cheapest, type.price(false) / type.fits(spec));
      }
    }
    return cheapest;
  }
}
