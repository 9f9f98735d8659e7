package gladeknot.tasks;

import gladeknot.state.StateStore;

/** How many more attempts the segments can hold before they exceed the largest value. */
final class SegmentCapacity {
  /** What one more attempt takes at most, mostly, in the plain form of a record. */
  private static final int PLAIN_ATTEMPT_BYTES = 30;

  /** The same for the compact form. */
  private static final int COMPACT_ATTEMPT_BYTES = 9;

  /** Bytes of a segment that are reserved for what else it comes to hold, at most. */
  private static final int MAX_RESERVED_BYTES = 1000;

  /** The largest share of a segment that is reserved, as a divisor. */
  private static final int RESERVED_SHARE = 4;

  private final SegmentLayout layout;
  private final StateStore stateStore;
  private final SegmentIndex segments;

  SegmentCapacity(SegmentLayout layout, StateStore stateStore, SegmentIndex segments) {
    this.layout = layout;
    this.stateStore = stateStore;
    this.segments = segments;
  }

  /** How many attempts fit besides those that have been decided and are not committed yet. */
  int remainingAttempts(Slice slice, int undecided) {
    int maxBytes = stateStore.limits().maxValueBytes();
    int attemptBytes = layout.compact() ? COMPACT_ATTEMPT_BYTES : PLAIN_ATTEMPT_BYTES;
    int reserved = Math.min(MAX_RESERVED_BYTES, maxBytes / RESERVED_SHARE);
    int segmentBytes = segments.value(slice.targetKey()).encodedBytes();
    int used = reserved + segmentBytes + attemptBytes * undecided;
    return Math.max(0, (maxBytes - used) / attemptBytes);
  }
}
