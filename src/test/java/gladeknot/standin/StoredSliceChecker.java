package gladeknot.standin;

import gladeknot.jobs.Job;
import gladeknot.jobs.RecordedJobs;
import gladeknot.tasks.RecordedAttempts;
import gladeknot.tasks.RecordedSlices;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Checks the stored slices after each transaction: each slice of a job has at most one record, and
 * each task of an active job belongs to at most one slice. Only the owner of that slice's shard may
 * start the task. A shard without a record of a job holds its even share of the job's tasks.
 */
final class StoredSliceChecker implements FakeStateStore.ChangeListener {
  private static final String SEGMENT_PREFIX = "g/sl/";

  private final int shards;
  private final Consumer<String> violations;
  private final Map<String, Map<String, Object>> segments = new HashMap<>();
  private final Map<String, Job> activeJobs = new HashMap<>();

  /** Tasks that each segment's record assigns, by job and segment. */
  private final Map<String, Map<String, BitSet>> assignedByJob = new HashMap<>();

  private final Set<String> changedJobs = new HashSet<>();

  StoredSliceChecker(int shards, Consumer<String> violations) {
    this.shards = shards;
    this.violations = violations;
  }

  @Override
  public void changed(String key, Map<String, Object> value) {
    if (key.startsWith(SEGMENT_PREFIX)) {
      segmentChanged(key, value == null ? Map.of() : value);
    } else if (key.startsWith(Job.KEY_PREFIX)) {
      jobChanged(key.substring(Job.KEY_PREFIX.length()), value);
    }
  }

  private void jobChanged(String id, Map<String, Object> value) {
    activeJobs.remove(id);
    if (value != null) {
      RecordedJobs.active(id, value).ifPresent(job -> activeJobs.put(id, job));
    }
    changedJobs.add(id);
  }

  private void segmentChanged(String segment, Map<String, Object> after) {
    Map<String, Object> before = segments.getOrDefault(segment, Map.of());
    segments.put(segment, Map.copyOf(after));
    Set<String> jobs = new HashSet<>(before.keySet());
    jobs.addAll(after.keySet());
    for (String job : jobs) {
      if (!Objects.equals(before.get(job), after.get(job))) {
        checkStartedTasksStay(job, before.get(job), after.get(job));
        recordChanged(segment, job, after.get(job));
      }
    }
  }

  /** Reports tasks that were claimed from a slice although the slice records a start of them. */
  private void checkStartedTasksStay(String job, Object before, Object after) {
    if (before == null || after == null) {
      return;
    }
    BitSet assigned = RecordedSlices.assigned(String.valueOf(after));
    for (RecordedAttempts.Recorded attempt : RecordedAttempts.of(job, String.valueOf(before))) {
      String task = attempt.task();
      if (!assigned.get(Integer.parseInt(task.substring(task.lastIndexOf('/') + 1)))) {
        violations.accept("ran_twice: claimed while it is started: " + task);
      }
    }
  }

  private void recordChanged(String segment, String job, Object record) {
    Map<String, BitSet> assigned = assignedByJob.computeIfAbsent(job, id -> new TreeMap<>());
    if (record == null) {
      assigned.remove(segment);
    } else {
      assigned.put(segment, RecordedSlices.assigned(String.valueOf(record)));
    }
    changedJobs.add(job);
  }

  @Override
  public void transactionCommitted() {
    for (String id : changedJobs) {
      Job job = activeJobs.get(id);
      if (job != null) {
        checkSlices(job);
      }
    }
    changedJobs.clear();
  }

  private void checkSlices(Job job) {
    Map<String, BitSet> records = assignedByJob.getOrDefault(job.id(), Map.of());
    Map<Integer, String> segmentByShard = new HashMap<>();
    BitSet assigned = new BitSet();
    for (Map.Entry<String, BitSet> record : records.entrySet()) {
      String otherSegment =
          segmentByShard.put(RecordedSlices.shardOf(record.getKey()), record.getKey());
      if (otherSegment != null) {
        violations.accept(
            "ran_twice: a slice of "
                + job.id()
                + " is in "
                + otherSegment
                + " and "
                + record.getKey());
      }
      addAssigned(job, record.getKey(), record.getValue(), assigned);
    }
    for (int shard = 0; shard < shards; shard++) {
      if (!segmentByShard.containsKey(shard)) {
        BitSet share = RecordedSlices.unrecorded(job, shard, shards);
        addAssigned(job, "no segment of shard " + shard, share, assigned);
      }
    }
  }

  private void addAssigned(Job job, String location, BitSet tasks, BitSet assigned) {
    if (assigned.intersects(tasks)) {
      BitSet assignedTwice = (BitSet) assigned.clone();
      assignedTwice.and(tasks);
      violations.accept(
          "ran_twice: tasks "
              + assignedTwice
              + " of "
              + job.id()
              + " are assigned twice, also in "
              + location);
    }
    assigned.or(tasks);
  }
}
