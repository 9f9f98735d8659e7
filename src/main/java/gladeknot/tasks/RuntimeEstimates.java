package gladeknot.tasks;

import gladeknot.jobs.JobSpec;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * How long tasks run: the submitter's estimate, corrected by the run times of finished tasks of the
 * job, or else of its job class.
 */
public final class RuntimeEstimates {
  /** Services never end; sums of a few of these don't overflow. */
  private static final long ENDLESS_MICROS = Long.MAX_VALUE / 4;

  private static final int MAX_JOBS = 500;
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  /** Run times of finished tasks by job; jobs not asked for longest are evicted. */
  private final Map<String, RunTotal> totalsByJob =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RunTotal> eldest) {
          return size() > MAX_JOBS;
        }
      };

  private final Map<String, RunRatio> ratiosByClass = new HashMap<>();

  /** The run times of a job's finished tasks. */
  private static final class RunTotal {
    private long sumMicros;
    private long count;

    private void add(long micros) {
      sumMicros += micros;
      count++;
    }

    private long meanMicros() {
      return sumMicros / count;
    }
  }

  /** The run times of a class's finished tasks in relation to their estimates. */
  private static final class RunRatio {
    private static final int PERCENT = 100;
    private static final int MAX_PERCENT = 100_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MEDIAN = 50;

    /** So many finished tasks weigh as much as the estimate itself. */
    private static final int ESTIMATE_WEIGHT = 10;

    /**
     * Up to so many finished tasks the median is worked out after each one; from then on after each
     * further one in so many.
     */
    private static final int EXACT_COUNT = 32;

    private final Histogram percents = new Histogram(MAX_PERCENT, SIGNIFICANT_DIGITS);
    private double value = 1;
    private long countAtUpdate;
    private boolean upToDate;

    private void add(long ranMicros, long estimatedMicros) {
      long percent = ranMicros * PERCENT / estimatedMicros;
      percents.recordValue(Math.max(1, Math.min(MAX_PERCENT, percent)));
      upToDate = false;
    }

    /** Asked for each running task again and again, while a percentile walks the histogram. */
    private double value() {
      long count = percents.getTotalCount();
      boolean few = count < EXACT_COUNT;
      if (!upToDate && (few || count >= countAtUpdate + countAtUpdate / EXACT_COUNT)) {
        double median = percents.getValueAtPercentile(MEDIAN) / (double) PERCENT;
        value = (median * count + ESTIMATE_WEIGHT) / (count + ESTIMATE_WEIGHT);
        countAtUpdate = count;
      }
      upToDate = true;
      return value;
    }
  }

  /** Records how long a task ran until it completed; ignored if the job has no estimate. */
  public void recordRun(JobSpec spec, long ranMicros) {
    if (spec.estimatedRunMicros() <= 0 || ranMicros <= 0) {
      return;
    }
    totalsByJob.computeIfAbsent(spec.id(), id -> new RunTotal()).add(ranMicros);
    ratiosByClass
        .computeIfAbsent(spec.jobClass(), name -> new RunRatio())
        .add(ranMicros, spec.estimatedRunMicros());
  }

  /** How long a task of the job will run, in microseconds without the fetch of its image. */
  public long runMicros(JobSpec spec) {
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return ENDLESS_MICROS;
    }
    RunTotal total = totalsByJob.get(spec.id());
    if (total != null) {
      // Tasks of one job are much alike: those that have ended tell of the rest.
      return total.meanMicros();
    }
    RunRatio ratio = ratiosByClass.get(spec.jobClass());
    return ratio == null
        ? spec.estimatedRunMicros()
        : (long) (spec.estimatedRunMicros() * ratio.value());
  }
}
