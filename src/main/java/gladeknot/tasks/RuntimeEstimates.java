package gladeknot.tasks;

import gladeknot.jobs.JobSpec;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** How long tasks run: the owner's guess, corrected by what the class's finished tasks took. */
public final class RuntimeEstimates {
  private static final int PERCENT = 100;
  private static final int MOST = 100_000;
  private static final int MAX_JOBS = 500;

  /** So many finished tasks weigh as much as the guess as it stands. */
  private static final int TRUST = 10;

  /** Up to so many finished tasks each one counts at once, after that a share of as many. */
  private static final int FEW = 32;

  /** Run times of finished tasks by job: their sum and number. */
  private final Map<String, long[]> jobs =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, long[]> eldest) {
          return size() > MAX_JOBS;
        }
      };

  /** What a class's tasks took, in hundredths of their guesses. */
  private static final class Ratio {
    private final Histogram percents = new Histogram(MOST, 2);
    private double value = 1;
    private long at;
    private boolean fresh;

    /** It is asked for each running task again and again, and a percentile walks the histogram. */
    private double value() {
      long n = percents.getTotalCount();
      if (!fresh && (n < FEW || n >= at + at / FEW)) {
        value = (percents.getValueAtPercentile(50) / 100.0 * n + TRUST) / (n + TRUST);
        at = n;
      }
      fresh = true;
      return value;
    }
  }

  private final Map<String, Ratio> ratios = new HashMap<>();

  /** Notes how long a task ran. */
  public void recordRun(JobSpec spec, long ranMicros) {
    if (spec.estimatedRunMicros() <= 0 || ranMicros <= 0) {
      return;
    }
    long percent = Math.max(1, Math.min(MOST, ranMicros * PERCENT / spec.estimatedRunMicros()));
    long[] sum = jobs.computeIfAbsent(spec.id(), id -> new long[2]);
    sum[0] += ranMicros;
    sum[1]++;
    Ratio ratio = ratios.computeIfAbsent(spec.jobClass(), c -> new Ratio());
    ratio.percents.recordValue(percent);
    ratio.fresh = false;
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
    Ratio ratio = ratios.get(spec.jobClass());
    return ratio == null
        ? spec.estimatedRunMicros()
        : (long) (spec.estimatedRunMicros() * ratio.value());
  }
}
