package gladeknot.placement;

import gladeknot.jobs.JobSpec;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** How long tasks run: the owner's guess, corrected by what the class's finished tasks took. */
public final class Estimates {
  private static final int PERCENT = 100;
  private static final int MOST = 100_000;

  /** So many finished tasks weigh as much as the guess as it stands. */
  private static final int TRUST = 10;

  private final Map<String, Histogram> ratios = new HashMap<>();

  /** Notes how long a task ran. */
  void finished(JobSpec spec, long ranMicros) {
    if (spec.guessMicros() <= 0 || ranMicros <= 0) {
      return;
    }
    long percent = Math.max(1, Math.min(MOST, ranMicros * PERCENT / spec.guessMicros()));
    ratios.computeIfAbsent(spec.jobClass(), c -> new Histogram(MOST, 2)).recordValue(percent);
  }

  /** What a task of the job will take, its image's fetch left out; services never end. */
  public long runMicros(JobSpec spec) {
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return Long.MAX_VALUE / 4;
    }
    Histogram h = ratios.get(spec.jobClass());
    if (h == null || h.getTotalCount() == 0) {
      return spec.guessMicros();
    }
    long n = h.getTotalCount();
    double ratio = (h.getValueAtPercentile(50) / 100.0 * n + TRUST) / (n + TRUST);
    return (long) (spec.guessMicros() * ratio);
  }
}
