package gladeknot.state;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * What waits for the watch cache to be as recent as some moment or some revision. A barrier is
 * requested, then shares one read with others, then waits until the cache has reached the revision
 * that was read.
 */
final class ReadBarriers {
  /** How long a barrier waits until it has failed. */
  static final long WAIT_MICROS = 1_500_000;

  /** Between two reads. */
  private static final long READ_INTERVAL_MICROS = 300_000;

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long UNKNOWN = -1;

  /** Something that waits, and what runs when it has waited too long. */
  static final class Barrier {
    private final Runnable fresh;
    private final Runnable failed;
    private final long deadlineMicros;
    private long revision = UNKNOWN;
    private long sentMicros = NEVER;

    private Barrier(Runnable fresh, Runnable failed, long deadlineMicros) {
      this.fresh = fresh;
      this.failed = failed;
      this.deadlineMicros = deadlineMicros;
    }
  }

  /** Something that waits for a revision without a deadline. */
  private record RevisionWaiter(long revision, Runnable then) {}

  private final List<Barrier> requested = new ArrayList<>();

  /** Barriers whose revision is known. */
  private final List<Barrier> waiting = new ArrayList<>();

  private final List<RevisionWaiter> revisionWaiters = new ArrayList<>();
  private boolean readInFlight;
  private long lastReadMicros = NEVER;
  private long currentAsOfMicros = NEVER;

  /** When the cache is known to have been current. */
  long currentAsOfMicros() {
    return currentAsOfMicros;
  }

  /** Requests a barrier at this moment. */
  void request(Runnable fresh, Runnable failed, long nowMicros) {
    requested.add(new Barrier(fresh, failed, nowMicros + WAIT_MICROS));
  }

  /** Runs something once the cache has reached a revision, however long that takes. */
  void whenRevisionReached(long revision, Runnable then) {
    revisionWaiters.add(new RevisionWaiter(revision, then));
  }

  /** Runs {@code then} once the cache has reached a revision, or else soon {@code failed}. */
  void whenRevisionReached(long revision, Runnable then, Runnable failed, long nowMicros) {
    // It proves nothing of how recent the cache is: nothing was read for it.
    Barrier barrier = new Barrier(then, failed, nowMicros + WAIT_MICROS);
    barrier.revision = revision;
    waiting.add(barrier);
  }

  /** Whether a read is to be sent. */
  boolean wantRead(long nowMicros) {
    return !requested.isEmpty()
        && !readInFlight
        && nowMicros - lastReadMicros >= READ_INTERVAL_MICROS;
  }

  /** A read is sent now; returns the barriers that share it. */
  List<Barrier> startRead(long nowMicros) {
    readInFlight = true;
    lastReadMicros = nowMicros;
    List<Barrier> batch = List.copyOf(requested);
    requested.clear();
    batch.forEach(barrier -> barrier.sentMicros = nowMicros);
    return batch;
  }

  /** A read has ended with the revision that it showed, or without one. */
  void finishRead(List<Barrier> batch, OptionalLong readRevision, long cacheRevision) {
    readInFlight = false;
    if (readRevision.isEmpty()) {
      batch.forEach(barrier -> barrier.failed.run());
      return;
    }
    batch.forEach(barrier -> barrier.revision = readRevision.getAsLong());
    waiting.addAll(batch);
    reached(cacheRevision);
  }

  /** The cache has reached a revision. */
  void reached(long revision) {
    if (!revisionWaiters.isEmpty()) {
      List<RevisionWaiter> due =
          revisionWaiters.stream().filter(waiter -> waiter.revision() <= revision).toList();
      revisionWaiters.removeAll(due);
      due.forEach(waiter -> waiter.then().run());
    }
    if (waiting.isEmpty()) {
      return;
    }
    List<Barrier> done =
        waiting.stream().filter(b -> b.revision >= 0 && b.revision <= revision).toList();
    waiting.removeAll(done);
    for (Barrier barrier : done) {
      currentAsOfMicros = Math.max(currentAsOfMicros, barrier.sentMicros);
      barrier.fresh.run();
    }
  }

  /** Fails what has waited for too long. */
  void expire(long nowMicros) {
    expire(requested, nowMicros);
    expire(waiting, nowMicros);
  }

  private static void expire(List<Barrier> barriers, long nowMicros) {
    if (barriers.isEmpty()) {
      return;
    }
    List<Barrier> late = barriers.stream().filter(b -> b.deadlineMicros <= nowMicros).toList();
    if (late.isEmpty()) {
      return;
    }
    barriers.removeAll(late);
    late.forEach(barrier -> barrier.failed.run());
  }
}
