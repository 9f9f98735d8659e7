package gladeknot.commit;

import gladeknot.tasks.Attempt;
import gladeknot.tasks.Slice;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state of a slice when it was added to a transaction.
 *
 * @param slice the working copy, which may change while the transaction is in flight
 * @param key the segment that the record is written to
 * @param version the working copy's version
 * @param reloads number of times that the slice had been reloaded
 * @param done the completed tasks
 * @param live the attempts that the record contains
 * @param closed the attempts whose ends the transaction commits
 * @param claims the tasks that are claimed, by source slice
 * @param keys the keys that the slice's part of the transaction changes or is conditional on
 */
record SliceSnapshot(
    Slice slice,
    String key,
    long version,
    long reloads,
    BitSet done,
    List<Attempt> live,
    List<Attempt> closed,
    Map<Slice, BitSet> claims,
    Set<String> keys) {

  /** Creates a snapshot of a slice's current state. */
  static SliceSnapshot of(Slice slice, String key, Set<String> keys) {
    List<Attempt> live = new ArrayList<>();
    List<Attempt> closed = new ArrayList<>();
    for (Attempt attempt : slice.attemptsByTask().values()) {
      (attempt.closed() ? closed : live).add(attempt);
    }
    return new SliceSnapshot(
        slice,
        key,
        slice.version(),
        slice.reloads(),
        (BitSet) slice.done().clone(),
        live,
        closed,
        Map.copyOf(slice.pendingClaims()),
        keys);
  }

  /** Returns whether the slice's changes write or depend on any of the given keys. */
  boolean dependsOnAny(List<String> changedKeys) {
    for (String changed : changedKeys) {
      if (keys.contains(changed)) {
        return true;
      }
    }
    return false;
  }
}
