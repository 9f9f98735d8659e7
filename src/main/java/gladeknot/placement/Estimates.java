package gladeknot.placement;

import gladeknot.jobs.JobSpec;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** How long tasks run: the owner's guess, corrected by what the class's finished tasks took. */
public final class Estimates {
  private static final int PERCENT = 100;
  private static final int MOST = 100_000;
  private static final int MOST_JOBS = 500;

  /** So many finished tasks weigh as much as the guess as it stands. */
  private static final int TRUST = 10;

  /** Run times of finished tasks by job: their sum and number. */
  private final Map<String, long[]> jobs =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, long[]> eldest) {
          return size() > MOST_JOBS;
        }
      };

  private final Map<String, Histogram> ratios = new HashMap<>();

  /** Notes how long a task ran. */
  void finished(JobSpec spec, long ranMicros) {
    if (spec.guessMicros() <= 0 || ranMicros <= 0) {
      return;
    }
    long percent = Math.max(1, Math.min(MOST, ranMicros * PERCENT / spec.guessMicros()));
    long[] sum = jobs.computeIfAbsent(spec.id(), id -> new long[2]);
    sum[0] += ranMicros;
    sum[1]++;
    ratios.computeIfAbsent(spec.jobClass(), c -> new Histogram(MOST, 2)).recordValue(percent);
  }

  /** What a task of the job will take, its image's fetch left out; services never end. */
  public long runMicros(JobSpec spec) {
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return Long.MAX_VALUE / 4;
    }
    long[] own = jobs.get(spec.id());
    if (own != null) {
      // Tasks of one job are much alike: those that have ended tell of the rest.
      return own[0] / own[1];
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
