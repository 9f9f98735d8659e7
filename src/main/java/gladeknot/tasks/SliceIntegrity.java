package gladeknot.tasks;

import gladeknot.jobs.Job;
import java.util.BitSet;
import java.util.Optional;

/**
 * Checks the invariants that prevent two controllers from starting the same task: each task of a
 * job belongs to one slice, and each slice has one record. Both are checked on the records in the
 * watch cache, because working copies may be older while a segment is being written.
 */
public final class SliceIntegrity {
  private final int shards;
  private final SegmentIndex segments;

  SliceIntegrity(int shards, SegmentIndex segments) {
    this.shards = shards;
    this.segments = segments;
  }

  /**
   * Returns whether each task of an active job belongs to one slice and each slice has one record.
   */
  public boolean holds(Job job) {
    return tasksAssignedTwice(job).isEmpty() && !hasDuplicates(job.id());
  }

  /**
   * Describes how an active job's records violate the invariants, with the tasks, record and
   * segments of each shard; empty if they don't.
   */
  public Optional<String> violation(Job job) {
    if (holds(job)) {
      return Optional.empty();
    }
    StringBuilder description = new StringBuilder();
    description.append("tasks_twice=").append(TaskRanges.text(tasksAssignedTwice(job)));
    for (int shard = 0; shard < shards; shard++) {
      String record =
          segments
              .find(shard, job.id())
              .map(stored -> stored.segmentKey() + " " + stored.text())
              .orElse("none");
      description.append(" shard_").append(shard);
      description.append("={tasks=").append(TaskRanges.text(assigned(job, shard)));
      description.append(" record=").append(record);
      description.append(" segments=").append(segments.duplicates(shard, job.id())).append('}');
    }
    return Optional.of(description.toString());
  }

  private BitSet tasksAssignedTwice(Job job) {
    BitSet seen = new BitSet();
    BitSet duplicates = new BitSet();
    for (int shard = 0; shard < shards; shard++) {
      BitSet tasks = assigned(job, shard);
      BitSet overlap = (BitSet) tasks.clone();
      overlap.and(seen);
      duplicates.or(overlap);
      seen.or(tasks);
    }
    return duplicates;
  }

  private BitSet assigned(Job job, int shard) {
    return segments
        .find(shard, job.id())
        .map(stored -> SliceRecord.assignedIn(stored.text()))
        .orElseGet(() -> EvenSplit.share(job.spec(), job.home(), shard, shards));
  }

  private boolean hasDuplicates(String job) {
    for (int shard = 0; shard < shards; shard++) {
      if (segments.hasDuplicates(shard, job)) {
        return true;
      }
    }
    return false;
  }
}
