package gladeknot.tasks;

import gladeknot.jobs.JobSpec;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Estimates of the run times of tasks. The estimate is the mean run time of the job's completed
 * tasks. Until one has completed, it is the submitter's estimate, corrected by the run times of
 * completed tasks of the same job class.
 */
public final class RuntimeEstimates {
  /** Run time of a service, which never ends. Sums of a few of these values don't overflow. */
  private static final long SERVICE_RUN_MICROS = Long.MAX_VALUE / 4;

  private static final int MAX_JOBS = 500;
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  /** Run times of completed tasks by job. The least recently used jobs are evicted. */
  private final Map<String, RunTotal> totalsByJob =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RunTotal> eldest) {
          return size() > MAX_JOBS;
        }
      };

  private final Map<String, RunRatio> ratiosByClass = new HashMap<>();

  /** Sum and number of the run times of a job's completed tasks. */
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

  /** Ratio of actual to estimated run times of a job class's completed tasks. */
  private static final class RunRatio {
    private static final int PERCENT = 100;
    private static final int MAX_PERCENT = 100_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MEDIAN_PERCENTILE = 50;

    /** Number of completed tasks that weigh as much as the estimate itself. */
    private static final int ESTIMATE_WEIGHT = 10;

    /**
     * Number N of completed tasks below which the median is recomputed after each task. From N
     * tasks on, the median is recomputed whenever the number of tasks has grown by 1/N since the
     * last time.
     */
    private static final int EXACT_MEDIAN_COUNT = 32;

    private final Histogram percents = new Histogram(MAX_PERCENT, SIGNIFICANT_DIGITS);
    private double value = 1;
    private long countAtUpdate;
    private boolean upToDate;

    private void add(long actualMicros, long estimatedMicros) {
      long percent = actualMicros * PERCENT / estimatedMicros;
      percents.recordValue(Math.max(1, Math.min(MAX_PERCENT, percent)));
      upToDate = false;
    }

    /**
     * Returns the ratio. The result is cached because it is requested repeatedly for each running
     * task, and computing a percentile iterates over the histogram.
     */
    private double value() {
      long count = percents.getTotalCount();
      boolean belowExactCount = count < EXACT_MEDIAN_COUNT;
      if (!upToDate
          && (belowExactCount || count >= countAtUpdate + countAtUpdate / EXACT_MEDIAN_COUNT)) {
        double median = percents.getValueAtPercentile(MEDIAN_PERCENTILE) / (double) PERCENT;
        value = (median * count + ESTIMATE_WEIGHT) / (count + ESTIMATE_WEIGHT);
        countAtUpdate = count;
      }
      upToDate = true;
      return value;
    }
  }

  /** Records the run time of a completed task; ignored if the job has no estimate. */
  public void recordRun(JobSpec spec, long actualMicros) {
    if (spec.estimatedRunMicros() <= 0 || actualMicros <= 0) {
      return;
    }
    totalsByJob.computeIfAbsent(spec.id(), id -> new RunTotal()).add(actualMicros);
    ratiosByClass
        .computeIfAbsent(spec.jobClass(), name -> new RunRatio())
        .add(actualMicros, spec.estimatedRunMicros());
  }

  /**
   * Returns the estimated run time of a task of the job, in microseconds, without the time to fetch
   * its image.
   */
  public long runMicros(JobSpec spec) {
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return SERVICE_RUN_MICROS;
    }
    RunTotal total = totalsByJob.get(spec.id());
    if (total != null) {
      // Tasks of one job are similar: the completed tasks predict the run times of the remaining
      // tasks.
      return total.meanMicros();
    }
    RunRatio ratio = ratiosByClass.get(spec.jobClass());
    return ratio == null
        ? spec.estimatedRunMicros()
        : (long) (spec.estimatedRunMicros() * ratio.value());
  }
}
