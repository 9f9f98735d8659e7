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
 * Chooses the home shard of a new job. Most jobs stay with the controller that accepts them. A
 * service lies whole in its home shard. Where a fetch of its image takes longer than its class
 * wants it to wait, it goes where most of its replicas find a machine with room that has the image
 * already.
 */
public final class HomeShardSelector {
  private final Membership membership;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final Scheduler.MachineTypes types;

  /**
   * How long tasks of a class may wait for their start; classes without such an aim are left out.
   */
  private final Map<String, Long> waitMicros = new HashMap<>();

  /** A selector that goes by the machines and attempts in the followed copy. */
  public HomeShardSelector(
      Settings settings,
      Membership membership,
      JobRegistry jobs,
      WorkerRegistry workers,
      Scheduler.MachineTypes types) {
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind() == ObjectiveKind.WAIT) {
        waitMicros.merge(objective.jobClass(), objective.withinMicros(), Math::min);
      }
    }
    this.membership = membership;
    this.jobs = jobs;
    this.workers = workers;
    this.types = types;
  }

  /** The shard that takes in a new job. */
  public int home(JobSpec spec) {
    int best = membership.homeShard();
    Long within = waitMicros.get(spec.jobClass());
    if (spec.shape() != JobSpec.Shape.SERVICE || within == null) {
      return best;
    }
    int[] ready = readyReplicas(spec, within);
    for (int shard = 0; shard < ready.length; shard++) {
      boolean more = ready[shard] > ready[best];
      if (more && membership.liveOwner(shard) != null) {
        best = shard;
      }
    }
    return best;
  }

  /**
   * For how many of a job's replicas each shard has room on machines that have the image and would
   * otherwise fetch it for too long.
   */
  private int[] readyReplicas(JobSpec spec, long withinMicros) {
    int[] ready = new int[membership.shardCount()];
    for (Worker worker : workers.all()) {
      MachineType type = types.get(worker.type());
      boolean usable =
          type != null && worker.registered() && !worker.terminating() && !worker.releasing();
      if (usable && spec.allowsMachine(worker.type(), worker.zone(), worker.spot())) {
        learnImages(worker, type);
        double fetchMicros = spec.imageGb() / type.fetchGbPerS() * 1e6;
        if (fetchMicros > withinMicros && worker.hasImage(spec.image())) {
          int fitting = ready[worker.shard()] + CandidateMachine.of(worker, type).capacityFor(spec);
          ready[worker.shard()] = Math.min(spec.tasks(), fitting);
        }
      }
    }
    return ready;
  }

  /**
   * Other controllers' machines don't report here: what runs on them by the copy tells which images
   * they have.
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
