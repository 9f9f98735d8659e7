package gladeknot.standin;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time in microseconds and the queue of events. Events that are due at the same time run
 * in the order in which they were added, so that a simulation repeats itself exactly.
 */
final class SimulatedClock {
  static final long SECOND = 1_000_000;

  /** The resolution of simulated time. */
  static final long STEP = 10_000;

  private static final long START = 100 * SECOND;

  private record Event(long at, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private long now = START;
  private long nextOrder;

  long now() {
    return now;
  }

  /** Advances time by one step, without running events. */
  void advance() {
    now += STEP;
  }

  /** Runs an action after a delay. */
  void schedule(long delayMicros, Runnable action) {
    events.add(new Event(now + delayMicros, nextOrder++, action));
  }

  /** Runs all events that are due, also those that these add for now. */
  void runDueEvents() {
    while (!events.isEmpty() && events.peek().at() <= now) {
      events.poll().action().run();
    }
  }

  /** Whether the present is a multiple of a period. */
  boolean isMultipleOf(long periodMicros) {
    return now % periodMicros == 0;
  }
}
