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
 * Chooses which slices move next from a segment of an earlier storage format to the segments where
 * they belong.
 *
 * <p>What remains in a segment must fit the largest value, so each step moves as many groups of
 * slices with one target as one transaction can, the largest first.
 */
final class SegmentMigration {
  /**
   * One step.
   *
   * @param segment the key of the segment that is emptied
   * @param moving the slices that move
   * @param staying the slices that remain in the segment until another step, or for good
   */
  record Step(String segment, List<Slice> moving, List<Slice> staying) {}

  private SegmentMigration() {}

  /**
   * The next step for a shard's slices.
   *
   * @param maxOperations how many keys a transaction may change
   * @param unmovable segments that are left out
   * @return empty if no slice that may be moved is out of place
   */
  static Optional<Step> next(Collection<Slice> slices, int maxOperations, Set<String> unmovable) {
    String segment = null;
    Map<String, List<Slice>> groups = new LinkedHashMap<>();
    for (Slice slice : slices) {
      boolean wanted = segment == null || segment.equals(slice.storedKey());
      if (wanted && isMovable(slice, unmovable)) {
        segment = slice.storedKey();
        groups.computeIfAbsent(slice.targetKey(), key -> new ArrayList<>()).add(slice);
      }
    }
    if (segment == null) {
      return Optional.empty();
    }
    // One of the operations changes the segment itself.
    List<Slice> moving = largest(groups.values(), maxOperations - 1);
    return Optional.of(new Step(segment, moving, staying(slices, segment, moving)));
  }

  private static boolean isMovable(Slice slice, Set<String> unmovable) {
    return slice.needsMigration()
        && slice.pendingClaims().isEmpty()
        && !unmovable.contains(slice.storedKey());
  }

  private static List<Slice> largest(Collection<List<Slice>> groups, int maxGroups) {
    List<List<Slice>> bySize = new ArrayList<>(groups);
    bySize.sort(Comparator.comparingInt(SegmentMigration::size).reversed());
    List<Slice> chosen = new ArrayList<>();
    for (List<Slice> group : bySize.subList(0, Math.min(maxGroups, bySize.size()))) {
      chosen.addAll(group);
    }
    return chosen;
  }

  private static List<Slice> staying(Collection<Slice> slices, String segment, List<Slice> moving) {
    Set<Slice> moved = new HashSet<>(moving);
    List<Slice> staying = new ArrayList<>();
    for (Slice slice : slices) {
      if (segment.equals(slice.storedKey()) && !moved.contains(slice)) {
        staying.add(slice);
      }
    }
    return staying;
  }

  private static int size(List<Slice> group) {
    int size = 0;
    for (Slice slice : group) {
      size += slice.encode().length();
    }
    return size;
  }
}
