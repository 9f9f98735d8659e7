package gladeknot.placement;

import gladeknot.fleet.MachineType;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;

/**
 * Chooses the home shard of a new job. Most jobs stay with the controller that accepts them. A
 * service lies whole in its home shard and is to start soon, so it goes where most of its replicas
 * find a machine with room that has their image already: a fetch can take longer than a service may
 * wait.
 */
public final class HomeSelector {
  private final Membership membership;
  private final JobRegistry jobs;
  private final WorkerRegistry workers;
  private final Placer.Types types;

  /** A selector that goes by the machines and attempts in the followed copy. */
  public HomeSelector(
      Membership membership, JobRegistry jobs, WorkerRegistry workers, Placer.Types types) {
    this.membership = membership;
    this.jobs = jobs;
    this.workers = workers;
    this.types = types;
  }

  /** The shard that takes in a new job. */
  public int home(JobSpec spec) {
    int best = membership.home();
    if (spec.shape() != JobSpec.Shape.SERVICE) {
      return best;
    }
    int[] ready = readyReplicas(spec);
    for (int shard = 0; shard < ready.length; shard++) {
      boolean more = ready[shard] > ready[best];
      if (more && membership.liveOwner(shard) != null) {
        best = shard;
      }
    }
    return best;
  }

  /** For how many of a job's replicas each shard has room on machines with the image. */
  private int[] readyReplicas(JobSpec spec) {
    int[] ready = new int[membership.shards()];
    for (Worker worker : workers.all()) {
      MachineType type = types.get(worker.type());
      boolean usable = type != null && worker.entered() && !worker.leaving() && !worker.releasing;
      if (usable && spec.allows(worker.type(), worker.zone(), worker.spot())) {
        learnImages(worker, type);
        if (worker.hasImage(spec.image())) {
          int fitting = ready[worker.shard()] + Room.of(worker, type).fits(spec);
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
    if (membership.owned().contains(worker.shard())) {
      return;
    }
    for (Attempt attempt : worker.attempts().values()) {
      Job job = attempt.closed ? null : jobs.active(attempt.slice().job());
      if (job != null) {
        worker.hasImage(job.spec().image(), job.spec().imageGb(), type.cacheGb());
      }
    }
  }
}
