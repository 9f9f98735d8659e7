package gladeknot.tasks;

import gladeknot.state.Change;
import gladeknot.state.Entry;
import gladeknot.state.StateStore;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;

/** Which segment holds which slice's record, and what has been loaded of each segment. */
public final class SegmentIndex {
  /** A slice's record and the key of the segment that holds it. */
  record StoredRecord(String segmentKey, String text) {}

  private final SegmentLayout layout;
  private final StateStore stateStore;

  /** The keys of the segments that hold the records, by shard and job. */
  private final List<Map<String, String>> segmentKeys = new ArrayList<>();

  /**
   * Slices with a record in more than one segment, which must never be: the keys of all of them, by
   * shard and job.
   */
  private final List<Map<String, SortedSet<String>>> duplicates = new ArrayList<>();

  /** The values from which the slices were loaded, by segment. */
  private final Map<String, PackedValue> loadedValues = new HashMap<>();

  /** The present values as far as they were asked for, whose sizes are worked out once. */
  private final Map<String, PackedValue> values = new HashMap<>();

  SegmentIndex(int shards, SegmentLayout layout, StateStore stateStore) {
    this.layout = layout;
    this.stateStore = stateStore;
    for (int shard = 0; shard < shards; shard++) {
      segmentKeys.add(new HashMap<>());
      duplicates.add(new HashMap<>());
    }
  }

  /** Takes in which records a segment holds, before any of them is read. */
  void onSegmentChange(Change change) {
    String key = change.key();
    int shard = SegmentLayout.shardOf(key);
    PackedValue before = PackedValue.of(change.before());
    PackedValue now = PackedValue.of(change.after());
    for (String job : before.fieldNames()) {
      if (!now.contains(job)) {
        removeRecord(shard, job, key);
      }
    }
    for (String job : now.fieldNames()) {
      addRecord(shard, job, key);
    }
  }

  private void addRecord(int shard, String job, String key) {
    String other = segmentKeys.get(shard).put(job, key);
    // A record that moves has left the other segment in the same transaction.
    if (other == null || other.equals(key) || !value(other).contains(job)) {
      return;
    }
    SortedSet<String> keys = duplicates.get(shard).computeIfAbsent(job, id -> new TreeSet<>());
    keys.add(other);
    keys.add(key);
  }

  private void removeRecord(int shard, String job, String key) {
    SortedSet<String> keys = duplicates.get(shard).get(job);
    if (keys == null) {
      segmentKeys.get(shard).remove(job, key);
      return;
    }
    keys.remove(key);
    segmentKeys.get(shard).put(job, keys.first());
    if (keys.size() == 1) {
      duplicates.get(shard).remove(job);
    }
  }

  private String select(SortedSet<String> keys, int shard, String job) {
    String target = layout.key(shard, SegmentLayout.holdsUnsplitJobs(keys.first()), job);
    return keys.contains(target) ? target : keys.first();
  }

  /** Whether a slice has a record in more than one segment. */
  boolean hasDuplicates(int shard, String job) {
    return duplicates.get(shard).containsKey(job);
  }

  /** The segments that hold a record of a slice, if there are several; empty otherwise. */
  SortedSet<String> duplicates(int shard, String job) {
    return duplicates.get(shard).getOrDefault(job, new TreeSet<>());
  }

  /** Reports the slices whose records in a segment differ from those last loaded or written. */
  public void detectChanges(String key, SliceChangeListener listener) {
    PackedValue before = loadedValues.getOrDefault(key, PackedValue.EMPTY);
    PackedValue now = value(key);
    if (before.isSameAs(now)) {
      return;
    }
    loadedValues.put(key, now);
    int shard = SegmentLayout.shardOf(key);
    for (String job : changedJobs(before, now)) {
      listener.onRecordChanged(shard, job);
    }
  }

  private static List<String> changedJobs(PackedValue before, PackedValue now) {
    List<String> jobs = new ArrayList<>();
    for (String job : now.fieldNames()) {
      if (!now.get(job).equals(before.get(job))) {
        jobs.add(job);
      }
    }
    for (String job : before.fieldNames()) {
      if (!now.contains(job)) {
        jobs.add(job);
      }
    }
    return jobs;
  }

  /** A segment has been written with these records, which the slices already contain. */
  public void onSegmentWritten(String key, Map<String, Object> records) {
    loadedValues.put(key, PackedValue.of(records));
  }

  /** The value of a segment, or of a key with machines, in the state store's copy. */
  public PackedValue value(String key) {
    Entry entry = stateStore.get(key);
    if (entry == null) {
      return PackedValue.EMPTY;
    }
    PackedValue known = values.get(key);
    if (known == null || !known.isViewOf(entry.data())) {
      known = PackedValue.of(entry);
      values.put(key, known);
    }
    return known;
  }

  /**
   * The stored record of a slice. Of several the one counts that is where the layout in force has
   * it, else the first by key, so that all controllers agree.
   */
  Optional<StoredRecord> find(int shard, String job) {
    SortedSet<String> several = duplicates.get(shard).get(job);
    String key = several == null ? segmentKeys.get(shard).get(job) : select(several, shard, job);
    String text = key == null ? null : value(key).get(job);
    return text == null ? Optional.empty() : Optional.of(new StoredRecord(key, text));
  }
}
