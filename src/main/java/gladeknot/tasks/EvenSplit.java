package gladeknot.tasks;

import gladeknot.jobs.JobSpec;
import java.util.BitSet;

/** Splits the tasks of a job evenly over the shards. */
final class EvenSplit {
  private EvenSplit() {}

  /**
   * The tasks that the even split gives to a shard; gangs and services are not split.
   *
   * @param home the job's home shard
   * @param shards how many shards there are
   */
  static BitSet share(JobSpec spec, int home, int shard, int shards) {
    BitSet share = new BitSet();
    if (spec.unsplit()) {
      if (shard == home) {
        share.set(0, spec.tasks());
      }
      return share;
    }
    // Rotated by the job's home, so that small jobs are not all given to the same shards.
    int position = Math.floorMod(shard - home, shards);
    int from = (int) ((long) spec.tasks() * position / shards);
    int to = (int) ((long) spec.tasks() * (position + 1) / shards);
    share.set(from, to);
    return share;
  }
}
