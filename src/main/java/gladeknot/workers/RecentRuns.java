package gladeknot.workers;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Run commands that answers to a worker's heartbeats have carried lately. A late copy of such an
 * answer may still reach the worker. It has no effect while the worker knows the attempt, but would
 * start the attempt once more after a purge.
 */
public final class RecentRuns {
  /**
   * Time after which no copy of an answer is carried out any more, in microseconds. A worker drops
   * what arrives 4 s after it sent its heartbeat; the rest covers the drift of its clock.
   */
  static final long ANSWER_VALID_MICROS = 4_010_000;

  private record AttemptKey(String task, long attempt) {}

  private record SentRun(AttemptKey key, long sentMicros) {}

  private final ArrayDeque<SentRun> runs = new ArrayDeque<>();
  private final Map<AttemptKey, Long> sentMicros = new HashMap<>();

  /** Records that an answer carries an attempt's run command. */
  public void onSent(String task, long attempt, long nowMicros) {
    forgetBefore(nowMicros - ANSWER_VALID_MICROS);
    AttemptKey key = new AttemptKey(task, attempt);
    runs.add(new SentRun(key, nowMicros));
    sentMicros.put(key, nowMicros);
  }

  /**
   * Returns whether a copy of an attempt's run command may still be carried out. The attempt must
   * then not be purged, or it would start again.
   */
  public boolean mayArrive(String task, long attempt, long nowMicros) {
    forgetBefore(nowMicros - ANSWER_VALID_MICROS);
    return sentMicros.containsKey(new AttemptKey(task, attempt));
  }

  private void forgetBefore(long micros) {
    while (!runs.isEmpty() && runs.peek().sentMicros() < micros) {
      SentRun run = runs.remove();
      sentMicros.remove(run.key(), run.sentMicros());
    }
  }
}
