package gladeknot.tasks;

import gladeknot.jobs.Job;
import java.util.BitSet;

/** Returns the tasks that are assigned to a shard, for checks of committed data. */
public final class RecordedSlices {
  private RecordedSlices() {}

  /** Returns the tasks that a slice's record assigns to its shard. */
  public static BitSet assigned(String record) {
    return SliceRecord.decode(record).assigned();
  }

  /** Returns the tasks that are assigned to a shard while its slice has no record. */
  public static BitSet unrecorded(Job job, int shard, int shards) {
    return EvenSplit.share(job.spec(), job.home(), shard, shards);
  }

  /** Returns the shard whose records a segment holds. */
  public static int shardOf(String segment) {
    return SegmentLayout.shardOf(segment);
  }
}
