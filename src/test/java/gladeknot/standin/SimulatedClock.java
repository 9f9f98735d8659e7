package gladeknot.standin;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulated time in microseconds, and the event queue. Events that are due at the same time run in
 * the order in which they were added, so that a simulation repeats itself exactly.
 */
final class SimulatedClock {
  static final long MICROS_PER_SECOND = 1_000_000;

  /** Resolution of simulated time, in microseconds. */
  static final long STEP_MICROS = 10_000;

  private static final long START_MICROS = 100 * MICROS_PER_SECOND;

  private record Event(long dueMicros, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::dueMicros).thenComparingLong(Event::order));
  private long now = START_MICROS;
  private long nextOrder;

  long now() {
    return now;
  }

  /** Advances the time by one step, without running events. */
  void advance() {
    now += STEP_MICROS;
  }

  /** Runs an action after a delay. */
  void schedule(long delayMicros, Runnable action) {
    events.add(new Event(now + delayMicros, nextOrder++, action));
  }

  /** Runs all events that are due, including those that they schedule for the present time. */
  void runDueEvents() {
    while (!events.isEmpty() && events.peek().dueMicros() <= now) {
      events.poll().action().run();
    }
  }

  /** Returns whether the present time is a multiple of a period. */
  boolean isMultipleOf(long periodMicros) {
    return now % periodMicros == 0;
  }
}
