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

/** Tracks which segment holds each slice's record, and which value of each segment was loaded. */
public final class SegmentIndex {
  /** A slice's record and the key of the segment that holds it. */
  record StoredRecord(String segmentKey, String text) {}

  private final SegmentLayout layout;
  private final StateStore stateStore;

  /** Keys of the segments that hold the records, by shard and job. */
  private final List<Map<String, String>> segmentKeys = new ArrayList<>();

  /**
   * Keys of all segments with a record of a slice, by shard and job, for slices with a record in
   * more than one segment. Such duplicates violate an invariant.
   */
  private final List<Map<String, SortedSet<String>>> duplicates = new ArrayList<>();

  /** Values from which the slices were loaded, by segment. */
  private final Map<String, PackedValue> loadedValues = new HashMap<>();

  /**
   * Current values that were requested, by key. They are kept so that each size is computed once.
   */
  private final Map<String, PackedValue> cachedValues = new HashMap<>();

  SegmentIndex(int shards, SegmentLayout layout, StateStore stateStore) {
    this.layout = layout;
    this.stateStore = stateStore;
    for (int shard = 0; shard < shards; shard++) {
      segmentKeys.add(new HashMap<>());
      duplicates.add(new HashMap<>());
    }
  }

  /** Updates which records a segment holds. Must be called before any of them is read. */
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
    String previousKey = segmentKeys.get(shard).put(job, key);
    // A record that moves between segments leaves the previous one in the same transaction.
    if (previousKey == null || previousKey.equals(key) || !value(previousKey).contains(job)) {
      return;
    }
    SortedSet<String> keys = duplicates.get(shard).computeIfAbsent(job, id -> new TreeSet<>());
    keys.add(previousKey);
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

  /** Returns whether a slice has a record in more than one segment. */
  boolean hasDuplicates(int shard, String job) {
    return duplicates.get(shard).containsKey(job);
  }

  /**
   * Returns the segments that hold a record of a slice if there is more than one; otherwise an
   * empty set.
   */
  SortedSet<String> duplicates(int shard, String job) {
    return duplicates.get(shard).getOrDefault(job, new TreeSet<>());
  }

  /**
   * Notifies a listener of the slices whose records in a segment differ from those last loaded or
   * written.
   */
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

  /**
   * Records that a segment has been written with the given records, which the slices already
   * reflect.
   */
  public void onSegmentWritten(String key, Map<String, Object> records) {
    loadedValues.put(key, PackedValue.of(records));
  }

  /** Returns the cached value of a segment or of a key with machines. */
  public PackedValue value(String key) {
    Entry entry = stateStore.get(key);
    if (entry == null) {
      return PackedValue.EMPTY;
    }
    PackedValue cached = cachedValues.get(key);
    if (cached == null || !cached.isViewOf(entry.data())) {
      cached = PackedValue.of(entry);
      cachedValues.put(key, cached);
    }
    return cached;
  }

  /**
   * Returns the stored record of a slice. If there are duplicates, returns the record in the
   * segment that the current layout selects, or else the record with the lowest key, so that all
   * controllers agree.
   */
  Optional<StoredRecord> find(int shard, String job) {
    SortedSet<String> duplicateKeys = duplicates.get(shard).get(job);
    String key =
        duplicateKeys == null ? segmentKeys.get(shard).get(job) : select(duplicateKeys, shard, job);
    String text = key == null ? null : value(key).get(job);
    return text == null ? Optional.empty() : Optional.of(new StoredRecord(key, text));
  }
}
