package gladeknot.tasks;

import gladeknot.state.StateStore;

/** Computes how many more attempts segments can hold before they exceed the value size limit. */
final class SegmentCapacity {
  /** Typical maximum size of one more attempt in the plain form of a record. */
  private static final int PLAIN_ATTEMPT_BYTES = 30;

  /** Typical maximum size of one more attempt in the compact form of a record. */
  private static final int COMPACT_ATTEMPT_BYTES = 9;

  /** Maximum number of bytes of a segment that are reserved for other data than attempts. */
  private static final int MAX_RESERVED_BYTES = 1000;

  /** Divisor of the value size limit that gives the maximum reserved part of a segment. */
  private static final int RESERVED_DIVISOR = 4;

  private final SegmentLayout layout;
  private final StateStore stateStore;
  private final SegmentIndex segments;

  SegmentCapacity(SegmentLayout layout, StateStore stateStore, SegmentIndex segments) {
    this.layout = layout;
    this.stateStore = stateStore;
    this.segments = segments;
  }

  /**
   * Returns the number of attempts that fit into a slice's segment in addition to those whose
   * starts have been decided but not committed.
   */
  int remainingAttempts(Slice slice, int uncommittedStarts) {
    int maxBytes = stateStore.limits().maxValueBytes();
    int attemptBytes = layout.allowsCompactForm() ? COMPACT_ATTEMPT_BYTES : PLAIN_ATTEMPT_BYTES;
    int reservedBytes = Math.min(MAX_RESERVED_BYTES, maxBytes / RESERVED_DIVISOR);
    int segmentBytes = segments.value(slice.targetKey()).encodedBytes();
    int usedBytes = reservedBytes + segmentBytes + attemptBytes * uncommittedStarts;
    return Math.max(0, (maxBytes - usedBytes) / attemptBytes);
  }
}
