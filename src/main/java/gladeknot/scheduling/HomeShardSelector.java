package gladeknot.scheduling;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import gladeknot.tasks.Attempt;
import gladeknot.workers.MachineType;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.HashMap;
import java.util.Map;

/**
 * Selects the home shard of a new job. Most jobs stay in the home shard of the controller that
 * accepts them. A service is the exception, because all its replicas are in its home shard. If a
 * fetch of its image takes longer than the objective of its class allows tasks to wait, its home is
 * the shard where most replicas find free resources on machines that already have the image.
 */
public final class HomeShardSelector {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Membership membership;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final MachineTypes types;

  /**
   * By class, the maximum time that tasks may wait for their start, in microseconds. Classes
   * without such an objective have no entry.
   */
  private final Map<String, Long> maxWaitMicrosByClass = new HashMap<>();

  /** Creates a selector that uses the machines and attempts in the controller's cache. */
  public HomeShardSelector(
      Settings settings,
      Membership membership,
      JobRegistry jobs,
      WorkerRegistry workers,
      MachineTypes types) {
    this.membership = membership;
    this.jobs = jobs;
    this.workers = workers;
    this.types = types;
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind() == ObjectiveKind.WAIT) {
        maxWaitMicrosByClass.merge(objective.jobClass(), objective.withinMicros(), Math::min);
      }
    }
  }

  /** Returns the home shard of a new job. */
  public int home(JobSpec spec) {
    int best = membership.homeShard();
    Long maxWaitMicros = maxWaitMicrosByClass.get(spec.jobClass());
    if (spec.shape() != JobSpec.Shape.SERVICE || maxWaitMicros == null) {
      return best;
    }
    int[] replicas = replicasWithImageByShard(spec, maxWaitMicros);
    for (int shard = 0; shard < replicas.length; shard++) {
      boolean hasMoreReplicas = replicas[shard] > replicas[best];
      if (hasMoreReplicas && membership.liveOwner(shard).isPresent()) {
        best = shard;
      }
    }
    return best;
  }

  /**
   * Returns, for each shard, the number of a job's replicas that fit into the free resources of
   * machines that have the image. Only machines that would take too long to fetch it count.
   */
  private int[] replicasWithImageByShard(JobSpec spec, long maxWaitMicros) {
    int[] replicas = new int[membership.shardCount()];
    for (Worker worker : workers.all()) {
      MachineType type = types.get(worker.type());
      if (type == null || !isUsable(worker, spec)) {
        continue;
      }
      inferCachedImages(worker, type);
      double fetchMicros = spec.imageGb() / type.fetchGbPerSecond() * MICROS_PER_SECOND;
      if (fetchMicros > maxWaitMicros && worker.hasImage(spec.image())) {
        int shard = worker.shard();
        int capacity = CandidateMachine.of(worker, type).capacityFor(spec);
        replicas[shard] = Math.min(spec.tasks(), replicas[shard] + capacity);
      }
    }
    return replicas;
  }

  private static boolean isUsable(Worker worker, JobSpec spec) {
    return worker.registered()
        && !worker.terminating()
        && !worker.releasing()
        && spec.allowsMachine(worker.type(), worker.zone(), worker.spot());
  }

  /**
   * Infers from a worker's attempts in the cache which images the worker has. Workers of shards
   * that this controller does not own send no heartbeats here that would report their images.
   */
  private void inferCachedImages(Worker worker, MachineType type) {
    if (membership.ownedShards().contains(worker.shard())) {
      return;
    }
    for (Attempt attempt : worker.attempts().values()) {
      Job job = attempt.closed() ? null : jobs.active(attempt.slice().job());
      if (job != null) {
        worker.cacheImage(job.spec().image(), job.spec().imageGb(), type.cacheGb());
      }
    }
  }
}
