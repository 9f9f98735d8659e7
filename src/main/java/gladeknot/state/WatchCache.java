package gladeknot.state;

import gladeknot.state.StateServiceCodec.WatchEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Cache of the keys whose values the filter keeps. Changes arrive from lists, from watches and from
 * this controller's own transactions, in any order. For each key, the change with the highest
 * revision wins.
 */
final class WatchCache {
  private final CacheFilter filter;
  private final TreeMap<String, Entry> entries = new TreeMap<>();

  /**
   * Keys that changes have removed from the cache, with the revisions of the changes, which the
   * watch has not reached yet.
   */
  private final Map<String, Long> removedAt = new HashMap<>();

  private long revision;

  WatchCache(CacheFilter filter) {
    this.filter = filter;
  }

  /** Returns whether a listed key is kept, or replaces a value that is kept. */
  boolean affects(ListedKey listed) {
    return filter.keeps(listed.key(), listed.entry().data()) || entries.containsKey(listed.key());
  }

  /** Returns the revision up to which the cache holds all changes. */
  long revision() {
    return revision;
  }

  int size() {
    return entries.size();
  }

  /** Returns the entry of a key, or null if there is none. */
  Entry get(String key) {
    return entries.get(key);
  }

  /** Returns the revision of the last change of a key, or 0 if there is no such key. */
  long modRevision(String key) {
    Entry entry = entries.get(key);
    return entry == null ? 0 : entry.modRevision();
  }

  /** Returns a live view of the entries whose keys have a prefix. */
  SortedMap<String, Entry> withPrefix(String prefix) {
    return entries.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** Applies a complete list of the keys, and returns the resulting changes. */
  List<Change> applyList(TreeMap<String, Entry> listed, long listedRevision) {
    List<String> missingKeys =
        entries.keySet().stream().filter(k -> !listed.containsKey(k)).toList();
    revision = Math.max(revision, listedRevision);
    List<Change> changes = new ArrayList<>();
    for (String key : missingKeys) {
      if (entries.get(key).modRevision() <= listedRevision) {
        set(key, null, changes);
      }
    }
    listed.forEach(
        (key, entry) -> {
          // Skips keys that a later transaction of this controller has deleted: the watch would not
          // delete them again.
          if (isNewer(key, entry.modRevision())) {
            set(key, entry, changes);
          }
        });
    return changes;
  }

  /** Applies the events of a watch, and returns the resulting changes. */
  List<Change> applyEvents(List<WatchEvent> events) {
    List<Change> changes = new ArrayList<>();
    for (WatchEvent event : events) {
      if (event.key() != null && isNewer(event.key(), event.modRevision())) {
        Map<String, Object> data = event.data();
        set(event.key(), data == null ? null : new Entry(data, event.modRevision()), changes);
      }
    }
    return changes;
  }

  /** Records that the watch has reached a revision. */
  void advanceTo(long watchedRevision) {
    revision = Math.max(revision, watchedRevision);
    removedAt.values().removeIf(at -> at <= revision);
  }

  /** Applies a committed transaction of this controller, and returns the resulting changes. */
  List<Change> applyCommitted(List<Mutation> mutations, long committedRevision) {
    List<Change> changes = new ArrayList<>();
    for (Mutation mutation : mutations) {
      String key = mutation.key();
      if (isNewer(key, committedRevision)) {
        if (mutation.isDelete()) {
          removedAt.put(key, committedRevision);
          set(key, null, changes);
        } else {
          set(key, new Entry(mutation.data(), committedRevision), changes);
        }
      }
    }
    return changes;
  }

  private boolean isNewer(String key, long changeRevision) {
    return changeRevision > modRevision(key) && changeRevision > removedAt.getOrDefault(key, 0L);
  }

  private void set(String key, Entry after, List<Change> changes) {
    Entry before =
        after != null && isKept(key, after) ? entries.put(key, after) : remove(key, after);
    if (before != null || after != null) {
      changes.add(new Change(key, before, after));
    }
  }

  private boolean isKept(String key, Entry entry) {
    return filter.keeps(key, entry.data());
  }

  /** Removes a key because of a change; {@code after} is null if the change deleted the key. */
  private Entry remove(String key, Entry after) {
    if (after != null && after.modRevision() > revision) {
      removedAt.put(key, after.modRevision());
    }
    return entries.remove(key);
  }
}
