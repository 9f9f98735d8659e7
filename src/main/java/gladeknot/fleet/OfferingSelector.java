package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.policy.Policy;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Selects the offering that suits tasks best: the cheapest that is up in time. */
final class OfferingSelector {
  /** What a second of lateness counts against a price an hour, when no offering is in time. */
  private static final double LATENESS_COST_PER_S = 0.05;

  /** A boot that takes this long doubles what a price counts. */
  private static final double BOOT_PENALTY_MICROS = 60e6;

  /** What each machine of a zone adds to the price there when tasks are to be spread over zones. */
  private static final double ZONE_BALANCE_FACTOR = 0.05;

  private static final double MICROS_PER_S = 1e6;

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
   * @param spec their job
   * @param tasksByZone how many of the job's tasks are in each zone
   * @param count how many tasks could use it
   * @param latestStartMicros when they should run at the latest, by the steady clock
   * @param otherwiseMicros when they would start without it; an instance up later is of no use
   */
  record InstanceRequest(
      JobSpec spec,
      Map<String, Integer> tasksByZone,
      int count,
      long latestStartMicros,
      long otherwiseMicros) {}

  /** Counts the machines of each zone, from which selections spread tasks until the next count. */
  void countMachinesByZone() {
    machinesByZone.clear();
    for (Worker worker : workers.all()) {
      machinesByZone.merge(worker.zone(), 1, Integer::sum);
    }
  }

  /**
   * The cheapest offering that is up in time, or the soonest if none is; empty if none helps.
   *
   * @param plan the instances that are to be requested already
   */
  Optional<InstanceOffering> select(InstanceRequest request, ScaleOutPlan plan) {
    long nowMicros = clock.nowMicros();
    int maxCount = ScaleOutRequests.MAX_INSTANCES * Math.max(1, cloud.availableCalls());
    double maxGpuPrice = cheapestWithoutGpus(request.spec()) * policy.number(Policy.Name.DEAR);
    InstanceOffering best = null;
    double bestScore = 0;
    for (InstanceOffering offering : catalog.offerings()) {
      if (!isEligible(offering, request, maxGpuPrice) || plan.count(offering) >= maxCount) {
        continue;
      }
      long upMicros = nowMicros + InstanceCatalog.startMicros(request.spec(), offering.type());
      if (upMicros >= request.otherwiseMicros()) {
        continue;
      }
      double score = score(offering, request, upMicros);
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
    int fits = type.fits(spec);
    if (fits == 0 || !offering.isAvailable(clock.nowMicros())) {
      return false;
    }
    boolean idleGpus = spec.gpus() == 0 && type.gpus() > 0;
    boolean service = spec.shape() == JobSpec.Shape.SERVICE;
    if (idleGpus && (service || offering.price() / fits > maxGpuPrice)) {
      return false;
    }
    return spec.allowsMachine(type.name(), offering.zone(), offering.spot())
        && spec.allowsZone(offering.zone(), request.tasksByZone());
  }

  /** The price of a task, weighted by boot time, lateness and, for spread jobs, zone. */
  private double score(InstanceOffering offering, InstanceRequest request, long upMicros) {
    MachineType type = offering.type();
    double score = offering.price() / Math.min(type.fits(request.spec()), request.count());
    score *= 1 + type.readyMicros() / BOOT_PENALTY_MICROS;
    if (upMicros > request.latestStartMicros()) {
      score += LATENESS_COST_PER_S * (upMicros - request.latestStartMicros()) / MICROS_PER_S;
    }
    if (request.spec().spread()) {
      score *= 1 + ZONE_BALANCE_FACTOR * machinesByZone.getOrDefault(offering.zone(), 0);
    }
    return score;
  }

  /** What a task costs an hour on the cheapest machine without GPUs, on demand. */
  private double cheapestWithoutGpus(JobSpec spec) {
    double cheapest = Double.MAX_VALUE;
    for (MachineType type : catalog.types()) {
      if (type.gpus() == 0 && InstanceCatalog.isUsable(spec, type)) {
        cheapest = Math.min(cheapest, type.price(false) / type.fits(spec));
      }
    }
    return cheapest;
  }
}
