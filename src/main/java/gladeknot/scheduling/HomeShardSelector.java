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
 * Selects the home shard of a new job. Most jobs stay with the controller that accepts them. A
 * service lies whole in its home shard: where a fetch of its image takes longer than the objective
 * of its class lets tasks wait, that is the shard in which most of its replicas find a machine with
 * free resources that has the image already.
 */
public final class HomeShardSelector {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Membership membership;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final MachineTypes types;

  /** By class, how long tasks may wait for their start; no entry for classes without a limit. */
  private final Map<String, Long> maxWaitMicros = new HashMap<>();

  /** A selector that uses the machines and attempts in the controller's copy of the state. */
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
        maxWaitMicros.merge(objective.jobClass(), objective.withinMicros(), Math::min);
      }
    }
  }

  /** The home shard of a new job. */
  public int home(JobSpec spec) {
    int best = membership.homeShard();
    Long maxWait = maxWaitMicros.get(spec.jobClass());
    if (spec.shape() != JobSpec.Shape.SERVICE || maxWait == null) {
      return best;
    }
    int[] replicas = quickReplicasByShard(spec, maxWait);
    for (int shard = 0; shard < replicas.length; shard++) {
      boolean more = replicas[shard] > replicas[best];
      if (more && membership.liveOwner(shard).isPresent()) {
        best = shard;
      }
    }
    return best;
  }

  /**
   * For how many of a job's replicas each shard has free resources on machines that have the image
   * and would otherwise take too long to fetch it.
   */
  private int[] quickReplicasByShard(JobSpec spec, long maxWaitMicros) {
    int[] replicas = new int[membership.shardCount()];
    for (Worker worker : workers.all()) {
      MachineType type = types.get(worker.type());
      if (type == null || !isUsable(worker, spec)) {
        continue;
      }
      learnImages(worker, type);
      double fetchMicros = spec.imageGb() / type.fetchGbPerS() * MICROS_PER_SECOND;
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
   * Workers of other controllers' shards send no heartbeats here: the tasks that they run by the
   * copy of the state show which images they have.
   */
  private void learnImages(Worker worker, MachineType type) {
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
