package gladeknot.state;

import java.util.random.RandomGenerator;

/** Delay with random jitter before a failed request to the state service is sent again. */
final class RetryBackoff {
  private static final long DELAY_MICROS = 200_000;
  private static final int JITTER_MICROS = 300_000;

  private final RandomGenerator random;
  private long untilMicros;

  RetryBackoff(RandomGenerator random) {
    this.random = random;
  }

  /** Starts a delay after a failure. */
  void onFailure(long nowMicros) {
    untilMicros = nowMicros + DELAY_MICROS + random.nextInt(JITTER_MICROS);
  }

  /** Returns whether no delay is in force. */
  boolean isOver(long nowMicros) {
    return nowMicros >= untilMicros;
  }
}
