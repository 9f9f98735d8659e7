package gladeknot.tasks;

import gladeknot.jobs.JobSpec;
import java.util.BitSet;

/** Splits the tasks of a job evenly over the shards. */
final class EvenSplit {
  private EvenSplit() {}

  /** The tasks that the even split gives to a shard; gangs and services stay whole. */
  static BitSet share(JobSpec spec, int home, int shard, int shards) {
    BitSet set = new BitSet();
    if (spec.unsplit()) {
      if (shard == home) {
        set.set(0, spec.tasks());
      }
      return set;
    }
    // Rotated by the job's home, so that small jobs don't all fall to the same shards.
    int place = Math.floorMod(shard - home, shards);
    int from = (int) ((long) spec.tasks() * place / shards);
    int to = (int) ((long) spec.tasks() * (place + 1) / shards);
    set.set(from, to);
    return set;
  }
}
