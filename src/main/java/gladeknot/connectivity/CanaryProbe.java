package gladeknot.connectivity;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds out whether a shard's workers can report to its home controller again, before the shard
 * goes back there: one worker is sent to the home, which sends it back since it does not own the
 * shard. Back sooner than a worker waits for an answer, it has got through in both directions.
 */
final class CanaryProbe {
  /** A worker waits so long for an answer; who is back by then has had one. */
  private static final long ANSWER_WAIT_MICROS = 4_000_000;

  /** After so long a worker that was sent has not come back. */
  private static final long LOST_MICROS = 15_000_000;

  /** For so long a worker without tasks is looked for before any is sent. */
  private static final long IDLE_WAIT_MICROS = 3_000_000;

  /** For so long it counts that a worker has got through. */
  private static final long PASSED_MICROS = 5_000_000;

  private static final long NONE = Long.MIN_VALUE / 2;

  /** The trial of one shard. */
  private static final class Trial {
    private long wantedMicros;
    private String host;
    private long sentMicros = NONE;
    private long passedMicros = NONE;
  }

  private final Map<Integer, Trial> trials = new HashMap<>();
  private long nowMicros;

  /**
   * Lets time pass; returns a shard whose worker has not come back, or below 0 if there is none.
   */
  int tick(long now) {
    nowMicros = now;
    for (Map.Entry<Integer, Trial> entry : trials.entrySet()) {
      if (entry.getValue().host != null && now - entry.getValue().sentMicros > LOST_MICROS) {
        trials.remove(entry.getKey());
        return entry.getKey();
      }
    }
    return -1;
  }

  /** Whether a worker of a shard has got through of late; if not, one is to be sent. */
  boolean passed(int shard) {
    Trial trial = trials.get(shard);
    if (trial == null) {
      trial = new Trial();
      trial.wantedMicros = nowMicros;
      trials.put(shard, trial);
    }
    boolean stale = trial.passedMicros != NONE && nowMicros - trial.passedMicros > PASSED_MICROS;
    if (stale) {
      trials.remove(shard);
    }
    return trial.passedMicros != NONE && !stale;
  }

  /** Whether a worker that reports is the one to send. */
  boolean send(int shard, String host, boolean idle) {
    Trial trial = trials.get(shard);
    if (trial == null || trial.host != null || trial.passedMicros != NONE) {
      return false;
    }
    if (!idle && nowMicros - trial.wantedMicros < IDLE_WAIT_MICROS) {
      return false;
    }
    trial.host = host;
    trial.sentMicros = nowMicros;
    return true;
  }

  /** A worker reports; returns whether it was sent and has come back too late. */
  boolean failed(int shard, String host) {
    Trial trial = trials.get(shard);
    if (trial == null || !host.equals(trial.host)) {
      return false;
    }
    if (nowMicros - trial.sentMicros < ANSWER_WAIT_MICROS) {
      trial.host = null;
      trial.passedMicros = nowMicros;
      return false;
    }
    trials.remove(shard);
    return true;
  }

  /** The shard is not ours any more. */
  void forget(int shard) {
    trials.remove(shard);
  }
}
