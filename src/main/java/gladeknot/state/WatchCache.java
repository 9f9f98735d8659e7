package gladeknot.state;

import gladeknot.state.StateServiceCodec.WatchEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The copy of every key. Changes arrive from lists, from watches and from this controller's own
 * transactions, in any order: the higher revision of a key prevails.
 */
final class WatchCache {
  private final TreeMap<String, Entry> entries = new TreeMap<>();

  /** Keys that own transactions deleted at a revision that the watch has not reached yet. */
  private final Map<String, Long> deletedAt = new HashMap<>();

  private long revision;

  /** The revision up to which all changes are contained. */
  long revision() {
    return revision;
  }

  int size() {
    return entries.size();
  }

  /** The entry of a key; null if there is none. */
  Entry get(String key) {
    return entries.get(key);
  }

  /** The revision of a key's last change; 0 if there is no such key. */
  long modRevision(String key) {
    Entry entry = entries.get(key);
    return entry == null ? 0 : entry.modRevision();
  }

  /** A live view of the entries whose keys have a prefix. */
  SortedMap<String, Entry> withPrefix(String prefix) {
    return entries.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  /** Takes in a complete list of the keys; returns what it changed. */
  List<Change> applyList(TreeMap<String, Entry> listed, long listedRevision) {
    List<String> absent = entries.keySet().stream().filter(k -> !listed.containsKey(k)).toList();
    revision = Math.max(revision, listedRevision);
    List<Change> changes = new ArrayList<>();
    for (String key : absent) {
      if (entries.get(key).modRevision() <= listedRevision) {
        set(key, null, changes);
      }
    }
    listed.forEach(
        (key, entry) -> {
          // Not what an own transaction has deleted since: the watch doesn't repeat that.
          if (isNewer(key, entry.modRevision())) {
            set(key, entry, changes);
          }
        });
    return changes;
  }

  /** Takes in the events of a watch; returns what they changed. */
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

  /** The watch has reached a revision. */
  void advanceTo(long watchedRevision) {
    revision = Math.max(revision, watchedRevision);
    deletedAt.values().removeIf(at -> at <= revision);
  }

  /** Takes in a transaction of this controller; returns what it changed. */
  List<Change> applyCommitted(List<Mutation> mutations, long committedRevision) {
    List<Change> changes = new ArrayList<>();
    for (Mutation mutation : mutations) {
      String key = mutation.key();
      if (isNewer(key, committedRevision)) {
        if (mutation.isDelete()) {
          deletedAt.put(key, committedRevision);
          set(key, null, changes);
        } else {
          set(key, new Entry(mutation.data(), committedRevision), changes);
        }
      }
    }
    return changes;
  }

  private boolean isNewer(String key, long changeRevision) {
    return changeRevision > modRevision(key) && changeRevision > deletedAt.getOrDefault(key, 0L);
  }

  private void set(String key, Entry after, List<Change> changes) {
    Entry before = after == null ? entries.remove(key) : entries.put(key, after);
    if (before != null || after != null) {
      changes.add(new Change(key, before, after));
    }
  }
}
