package gladeknot.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * What waits for the followed copy to be as new as some moment or some epoch. A barrier is asked
 * for, then sent with one read for many, then waits until the copy has reached what was read.
 */
final class ReadBarriers {
  /** How long a barrier waits until it has failed. */
  static final long WAIT_MICROS = 1_500_000;

  /** Between two reads. */
  private static final long GAP_MICROS = 300_000;

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long UNKNOWN = -1;

  /** Something that waits, and what runs when it has waited too long. */
  static final class Barrier {
    private final Runnable fresh;
    private final Runnable failed;
    private final long deadlineMicros;
    private long epoch = UNKNOWN;
    private long sentMicros = NEVER;

    private Barrier(Runnable fresh, Runnable failed, long deadlineMicros) {
      this.fresh = fresh;
      this.failed = failed;
      this.deadlineMicros = deadlineMicros;
    }
  }

  private final List<Barrier> asked = new ArrayList<>();
  private final List<Barrier> reading = new ArrayList<>();
  private final List<Map.Entry<Long, Runnable>> atEpoch = new ArrayList<>();
  private boolean inFlight;
  private long lastReadMicros = NEVER;
  private long currentAsOfMicros = NEVER;

  /** When the copy is known to have been current. */
  long currentAsOfMicros() {
    return currentAsOfMicros;
  }

  /** Adds a barrier at this moment. */
  void ask(Runnable fresh, Runnable failed, long nowMicros) {
    asked.add(new Barrier(fresh, failed, nowMicros + WAIT_MICROS));
  }

  /** Runs something once the copy has reached an epoch, however long that takes. */
  void whenRevisionReached(long epoch, Runnable then) {
    atEpoch.add(Map.entry(epoch, then));
  }

  /** Runs something once the copy has reached an epoch, or else something other soon. */
  void whenRevisionReached(long epoch, Runnable then, Runnable failed, long nowMicros) {
    // It says nothing of how fresh the copy is: nothing was read for it.
    Barrier barrier = new Barrier(then, failed, nowMicros + WAIT_MICROS);
    barrier.epoch = epoch;
    reading.add(barrier);
  }

  /** Whether a read is to be sent. */
  boolean wantRead(long nowMicros) {
    return !asked.isEmpty() && !inFlight && nowMicros - lastReadMicros >= GAP_MICROS;
  }

  /** All that was asked for, to share the read that is sent now. */
  List<Barrier> startRead(long nowMicros) {
    inFlight = true;
    lastReadMicros = nowMicros;
    List<Barrier> batch = List.copyOf(asked);
    asked.clear();
    batch.forEach(b -> b.sentMicros = nowMicros);
    return batch;
  }

  /** A read has ended; {@code at} is the epoch that it showed, or below 0 if it showed none. */
  void read(List<Barrier> batch, long at, long copyEpoch) {
    inFlight = false;
    if (at < 0) {
      batch.forEach(b -> b.failed.run());
      return;
    }
    batch.forEach(b -> b.epoch = at);
    reading.addAll(batch);
    reached(copyEpoch);
  }

  /** The copy has reached an epoch. */
  void reached(long epoch) {
    if (!atEpoch.isEmpty()) {
      List<Map.Entry<Long, Runnable>> due =
          atEpoch.stream().filter(e -> e.getKey() <= epoch).toList();
      atEpoch.removeAll(due);
      due.forEach(e -> e.getValue().run());
    }
    if (reading.isEmpty()) {
      return;
    }
    List<Barrier> done = reading.stream().filter(b -> b.epoch >= 0 && b.epoch <= epoch).toList();
    reading.removeAll(done);
    for (Barrier b : done) {
      currentAsOfMicros = Math.max(currentAsOfMicros, b.sentMicros);
      b.fresh.run();
    }
  }

  /** Fails what has waited for too long. */
  void expire(long nowMicros) {
    expire(asked, nowMicros);
    expire(reading, nowMicros);
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
    late.forEach(b -> b.failed.run());
  }
}
