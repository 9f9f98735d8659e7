package gladeknot.commit;

import gladeknot.tasks.Slice;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses which slices move next from a part of an earlier format to the parts where they belong.
 *
 * <p>What is left of a part must fit the largest value, so each step takes as many of its pieces as
 * one transaction can, the largest first.
 */
final class SegmentMigration {
  /** One step: the slices of one part that move, and those that stay in it for now. */
  record Step(String part, List<Slice> moving, List<Slice> staying) {}

  private SegmentMigration() {}

  /**
   * The next step for a shard's slices.
   *
   * @param operations how many keys a transaction may change
   * @param unmovable parts that are left out
   * @return null if no slice that is free to move is out of place
   */
  static Step next(Collection<Slice> slices, int operations, Set<String> unmovable) {
    String part = null;
    Map<String, List<Slice>> pieces = new LinkedHashMap<>();
    for (Slice s : slices) {
      boolean movable =
          s.needsMigration() && s.pendingClaims().isEmpty() && !unmovable.contains(s.storedKey());
      if (movable && (part == null || part.equals(s.storedKey()))) {
        part = s.storedKey();
        pieces.computeIfAbsent(s.targetKey(), key -> new ArrayList<>()).add(s);
      }
    }
    if (part == null) {
      return null;
    }
    List<List<Slice>> bySize = new ArrayList<>(pieces.values());
    bySize.sort(Comparator.comparingInt(SegmentMigration::size).reversed());
    List<Slice> moving = new ArrayList<>();
    for (List<Slice> piece : bySize.subList(0, Math.min(operations - 1, bySize.size()))) {
      moving.addAll(piece);
    }
    Set<Slice> moved = new HashSet<>(moving);
    List<Slice> staying = new ArrayList<>();
    for (Slice s : slices) {
      if (part.equals(s.storedKey()) && !moved.contains(s)) {
        staying.add(s);
      }
    }
    return new Step(part, moving, staying);
  }

  private static int size(List<Slice> piece) {
    return piece.stream().mapToInt(s -> s.encode().length()).sum();
  }
}
