package gladeknot.commit;

import gladeknot.tasks.Slice;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Selects the slices that move next from a segment of an earlier storage format to their target
 * segments.
 *
 * <p>The records that remain in the old segment must fit the maximum value size. Each step
 * therefore groups slices by target segment and moves as many groups as one transaction can hold,
 * the largest groups first.
 */
final class SegmentMigration {
  /**
   * One step of the migration.
   *
   * @param segment the key of the segment that is emptied
   * @param moving the slices that move to their target segments
   * @param remaining the slices that stay in the segment, either until a later step or permanently
   */
  record Step(String segment, List<Slice> moving, List<Slice> remaining) {}

  private SegmentMigration() {}

  /**
   * Returns the next step for a shard's slices.
   *
   * @param slices the shard's slices
   * @param maxOperations maximum number of keys that a transaction may change
   * @param unmovable keys of the segments to skip
   * @return the next step; empty if no movable slice is in a segment of an earlier format
   */
  static Optional<Step> next(Collection<Slice> slices, int maxOperations, Set<String> unmovable) {
    String segment = null;
    Map<String, List<Slice>> groups = new LinkedHashMap<>();
    for (Slice slice : slices) {
      boolean inSelectedSegment = segment == null || segment.equals(slice.storedKey());
      if (inSelectedSegment && isMovable(slice, unmovable)) {
        segment = slice.storedKey();
        groups.computeIfAbsent(slice.targetKey(), key -> new ArrayList<>()).add(slice);
      }
    }
    if (segment == null) {
      return Optional.empty();
    }
    // One of the operations changes the segment itself.
    List<Slice> moving = largestGroups(groups.values(), maxOperations - 1);
    return Optional.of(new Step(segment, moving, remaining(slices, segment, moving)));
  }

  private static boolean isMovable(Slice slice, Set<String> unmovable) {
    return slice.needsMigration()
        && slice.pendingClaims().isEmpty()
        && !unmovable.contains(slice.storedKey());
  }

  private static List<Slice> largestGroups(Collection<List<Slice>> groups, int maxGroups) {
    List<List<Slice>> bySize = new ArrayList<>(groups);
    bySize.sort(Comparator.comparingInt(SegmentMigration::encodedLength).reversed());
    List<Slice> chosen = new ArrayList<>();
    for (List<Slice> group : bySize.subList(0, Math.min(maxGroups, bySize.size()))) {
      chosen.addAll(group);
    }
    return chosen;
  }

  private static List<Slice> remaining(
      Collection<Slice> slices, String segment, List<Slice> moving) {
    Set<Slice> movingSet = new HashSet<>(moving);
    List<Slice> remaining = new ArrayList<>();
    for (Slice slice : slices) {
      if (segment.equals(slice.storedKey()) && !movingSet.contains(slice)) {
        remaining.add(slice);
      }
    }
    return remaining;
  }

  private static int encodedLength(List<Slice> group) {
    int length = 0;
    for (Slice slice : group) {
      length += slice.encode().length();
    }
    return length;
  }
}
