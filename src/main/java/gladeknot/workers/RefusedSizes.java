package gladeknot.workers;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Sizes of tasks that a machine, or the machines of a type, have refused for lack of resources
 * although the tasks should fit. Each refusal excludes the size for a time that doubles with each
 * further one, so that such tasks go elsewhere.
 */
public final class RefusedSizes {
  /** Time for which a machine's first refusal excludes a size, in microseconds. */
  private static final long MACHINE_EXCLUSION_MICROS = 4_000_000;

  /** Maximum number of doublings; a machine excludes a size for 17 minutes at most. */
  private static final int MAX_MACHINE_DOUBLINGS = 8;

  /** Time for which the first refusal excludes a type for a size, in microseconds. */
  private static final long TYPE_EXCLUSION_MICROS = 60_000_000;

  /** Maximum number of doublings; a type is excluded for 16 minutes at most. */
  private static final int MAX_TYPE_DOUBLINGS = 4;

  /** Time after an exclusion after which its refusals are forgotten, in microseconds. */
  private static final long KEPT_MICROS = 600_000_000;

  private record Refusals(int count, long untilMicros) {}

  private final long exclusionMicros;
  private final int maxDoublings;
  private final Map<TaskSize, Refusals> bySize = new HashMap<>();

  /** Creates the sizes that a machine has refused; initially none. */
  public static RefusedSizes ofMachine() {
    return new RefusedSizes(MACHINE_EXCLUSION_MICROS, MAX_MACHINE_DOUBLINGS);
  }

  /** Creates the sizes that the machines of a type have refused; initially none. */
  public static RefusedSizes ofType() {
    return new RefusedSizes(TYPE_EXCLUSION_MICROS, MAX_TYPE_DOUBLINGS);
  }

  private RefusedSizes(long exclusionMicros, int maxDoublings) {
    this.exclusionMicros = exclusionMicros;
    this.maxDoublings = maxDoublings;
  }

  /** Records a refusal; returns the number of refusals of the size that are remembered. */
  public int record(TaskSize size, long nowMicros) {
    bySize.values().removeIf(refusals -> nowMicros - refusals.untilMicros() > KEPT_MICROS);
    Refusals last = bySize.get(size);
    int count = last == null ? 1 : last.count() + 1;
    long micros = exclusionMicros << Math.min(maxDoublings, count - 1);
    bySize.put(size, new Refusals(count, nowMicros + micros));
    return count;
  }

  /** Returns whether a size is excluded at a time. */
  public boolean excludes(TaskSize size, long nowMicros) {
    Refusals refusals = bySize.get(size);
    return refusals != null && nowMicros < refusals.untilMicros();
  }

  /** Returns whether no refusal is remembered. */
  public boolean isEmpty() {
    return bySize.isEmpty();
  }

  /** Returns the sizes that are excluded at a time. */
  public Set<TaskSize> excluded(long nowMicros) {
    Set<TaskSize> excluded = new HashSet<>();
    for (TaskSize size : bySize.keySet()) {
      if (excludes(size, nowMicros)) {
        excluded.add(size);
      }
    }
    return excluded;
  }
}
