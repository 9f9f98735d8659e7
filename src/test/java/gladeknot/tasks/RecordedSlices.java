package gladeknot.tasks;

import gladeknot.jobs.Job;
import java.util.BitSet;

/** Reads which tasks are a shard's to run, for checkers of what is committed. */
public final class RecordedSlices {
  private RecordedSlices() {}

  /** The tasks that a slice's record assigns to its shard. */
  public static BitSet assigned(String record) {
    return SliceRecord.decode(record).assigned();
  }

  /** The tasks that are a shard's as long as its slice has no record. */
  public static BitSet unrecorded(Job job, int shard, int shards) {
    return EvenSplit.share(job.spec(), job.home(), shard, shards);
  }

  /** The shard whose records a segment holds. */
  public static int shardOf(String segment) {
    return SegmentLayout.shardOf(segment);
  }
}
