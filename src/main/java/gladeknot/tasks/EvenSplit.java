package gladeknot.tasks;

import gladeknot.jobs.JobSpec;
import java.util.BitSet;

/** Splits the tasks of a job evenly across the shards. */
final class EvenSplit {
  private EvenSplit() {}

  /**
   * Returns the tasks that the even split assigns to a shard. Gangs and services are not split: all
   * their tasks are assigned to the home shard.
   *
   * @param home the job's home shard
   * @param shards the number of shards
   */
  static BitSet share(JobSpec spec, int home, int shard, int shards) {
    BitSet share = new BitSet();
    if (spec.unsplit()) {
      if (shard == home) {
        share.set(0, spec.tasks());
      }
      return share;
    }
    // Rotate by the job's home shard, so that small jobs don't all go to the same shards.
    int position = Math.floorMod(shard - home, shards);
    int from = (int) ((long) spec.tasks() * position / shards);
    int to = (int) ((long) spec.tasks() * (position + 1) / shards);
    share.set(from, to);
    return share;
  }
}
