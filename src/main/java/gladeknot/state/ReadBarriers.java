package gladeknot.state;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Callbacks that wait until the watch cache is as recent as a point in time or a revision. A
 * barrier for a point in time is first queued, then shares one read of the state service's revision
 * with other barriers, then waits until the cache has reached that revision.
 */
final class ReadBarriers {
  /** Time after which a barrier fails. */
  static final long TIMEOUT_MICROS = 1_500_000;

  /** Minimum interval between two reads. */
  private static final long READ_INTERVAL_MICROS = 300_000;

  private static final long NEVER_MICROS = Long.MIN_VALUE / 2;
  private static final long UNKNOWN = -1;

  /** A callback with a deadline, and the callback to run instead if the barrier fails. */
  static final class Barrier {
    private final Runnable onFresh;
    private final Runnable onFailed;
    private final long deadlineMicros;
    private long revision = UNKNOWN;
    private long sentMicros = NEVER_MICROS;

    private Barrier(Runnable onFresh, Runnable onFailed, long deadlineMicros) {
      this.onFresh = onFresh;
      this.onFailed = onFailed;
      this.deadlineMicros = deadlineMicros;
    }
  }

  /** A callback that waits for a revision without a deadline. */
  private record RevisionWaiter(long revision, Runnable callback) {}

  /** Barriers for which no read has been sent. */
  private final List<Barrier> requested = new ArrayList<>();

  /** Barriers whose revision is known. */
  private final List<Barrier> waiting = new ArrayList<>();

  private final List<RevisionWaiter> revisionWaiters = new ArrayList<>();
  private boolean readInFlight;
  private long lastReadMicros = NEVER_MICROS;
  private long currentAsOfMicros = NEVER_MICROS;

  /** Returns the latest time at which the cache is known to have been current. */
  long currentAsOfMicros() {
    return currentAsOfMicros;
  }

  /**
   * Requests a barrier for the current time: runs {@code onFresh} once the cache is known to hold
   * all changes up to now, or {@code onFailed} if the read fails or the barrier times out.
   */
  void request(Runnable onFresh, Runnable onFailed, long nowMicros) {
    requested.add(new Barrier(onFresh, onFailed, nowMicros + TIMEOUT_MICROS));
  }

  /** Runs a callback once the cache has reached a revision, without a deadline. */
  void whenRevisionReached(long revision, Runnable callback) {
    revisionWaiters.add(new RevisionWaiter(revision, callback));
  }

  /**
   * Runs {@code callback} once the cache has reached a revision, or {@code onFailed} if this takes
   * longer than {@link #TIMEOUT_MICROS}.
   */
  void whenRevisionReached(long revision, Runnable callback, Runnable onFailed, long nowMicros) {
    // sentMicros stays unset: without a read, this barrier does not prove how recent the cache is.
    Barrier barrier = new Barrier(callback, onFailed, nowMicros + TIMEOUT_MICROS);
    barrier.revision = revision;
    waiting.add(barrier);
  }

  /** Returns whether a read is due. */
  boolean readDue(long nowMicros) {
    return !requested.isEmpty()
        && !readInFlight
        && nowMicros - lastReadMicros >= READ_INTERVAL_MICROS;
  }

  /** Records that a read is sent, and returns the barriers that share it. */
  List<Barrier> startRead(long nowMicros) {
    readInFlight = true;
    lastReadMicros = nowMicros;
    List<Barrier> batch = List.copyOf(requested);
    requested.clear();
    batch.forEach(barrier -> barrier.sentMicros = nowMicros);
    return batch;
  }

  /** Handles a refused read: its barriers wait for another read until their deadlines. */
  void onReadRefused(List<Barrier> batch) {
    readInFlight = false;
    requested.addAll(0, batch);
  }

  /**
   * Handles the end of a read.
   *
   * @param readRevision the state service's revision according to the read; empty if the read
   *     failed
   */
  void finishRead(List<Barrier> batch, OptionalLong readRevision, long cacheRevision) {
    readInFlight = false;
    if (readRevision.isEmpty()) {
      batch.forEach(barrier -> barrier.onFailed.run());
      return;
    }
    batch.forEach(barrier -> barrier.revision = readRevision.getAsLong());
    waiting.addAll(batch);
    onRevisionReached(cacheRevision);
  }

  /** Runs the callbacks that wait for a revision up to the given one. */
  void onRevisionReached(long revision) {
    if (!revisionWaiters.isEmpty()) {
      List<RevisionWaiter> reachedWaiters =
          revisionWaiters.stream().filter(waiter -> waiter.revision() <= revision).toList();
      revisionWaiters.removeAll(reachedWaiters);
      reachedWaiters.forEach(waiter -> waiter.callback().run());
    }
    if (waiting.isEmpty()) {
      return;
    }
    List<Barrier> reached =
        waiting.stream().filter(b -> b.revision >= 0 && b.revision <= revision).toList();
    waiting.removeAll(reached);
    for (Barrier barrier : reached) {
      currentAsOfMicros = Math.max(currentAsOfMicros, barrier.sentMicros);
      barrier.onFresh.run();
    }
  }

  /** Fails the barriers whose deadlines have passed. */
  void expire(long nowMicros) {
    expire(requested, nowMicros);
    expire(waiting, nowMicros);
  }

  private static void expire(List<Barrier> barriers, long nowMicros) {
    if (barriers.isEmpty()) {
      return;
    }
    List<Barrier> expired = barriers.stream().filter(b -> b.deadlineMicros <= nowMicros).toList();
    if (expired.isEmpty()) {
      return;
    }
    barriers.removeAll(expired);
    expired.forEach(barrier -> barrier.onFailed.run());
  }
}
