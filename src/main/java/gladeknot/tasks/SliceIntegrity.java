package gladeknot.tasks;

import gladeknot.jobs.Job;
import java.util.BitSet;
import java.util.Optional;

/**
 * What rules out that two controllers start the same task: each task of a job belongs to one slice,
 * and each slice has one record. Both are checked by the records in the controller's copy of the
 * state; working copies may be older while a segment is being written.
 */
public final class SliceIntegrity {
  private final int shards;
  private final SegmentIndex segments;

  SliceIntegrity(int shards, SegmentIndex segments) {
    this.shards = shards;
    this.segments = segments;
  }

  /** Whether each task of an active job belongs to one slice, and each slice has one record. */
  public boolean holds(Job job) {
    return tasksAssignedTwice(job).isEmpty() && !hasDuplicates(job.id());
  }

  /** What is wrong with an active job's records, with all figures; empty if nothing is. */
  public Optional<String> violation(Job job) {
    if (holds(job)) {
      return Optional.empty();
    }
    StringBuilder facts = new StringBuilder();
    facts.append("tasks_twice=").append(TaskRanges.text(tasksAssignedTwice(job)));
    for (int shard = 0; shard < shards; shard++) {
      String record =
          segments
              .find(shard, job.id())
              .map(stored -> stored.segmentKey() + " " + stored.text())
              .orElse("none");
      facts.append(" shard_").append(shard);
      facts.append("={tasks=").append(TaskRanges.text(assigned(job, shard)));
      facts.append(" record=").append(record);
      facts.append(" segments=").append(segments.duplicates(shard, job.id())).append('}');
    }
    return Optional.of(facts.toString());
  }

  private BitSet tasksAssignedTwice(Job job) {
    BitSet once = new BitSet();
    BitSet twice = new BitSet();
    for (int shard = 0; shard < shards; shard++) {
      BitSet tasks = assigned(job, shard);
      BitSet both = (BitSet) tasks.clone();
      both.and(once);
      twice.or(both);
      once.or(tasks);
    }
    return twice;
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
