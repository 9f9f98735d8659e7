package gladeknot.fleet;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.RuntimeEstimates;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** Recent job arrivals, from which the average load of each job class is computed. */
final class ArrivalRates {
  /**
   * The load of a job class over a window.
   *
   * @param example the newest job of the class; future jobs are assumed to be like it
   * @param runningTasks the average number of running tasks
   * @param jobsPerSecond the number of jobs that arrive per second
   * @param tasksPerJob the moving average of the number of tasks per job
   */
  record ClassLoad(
      JobSpec example, double runningTasks, double jobsPerSecond, double tasksPerJob) {}

  private record Arrival(long atMicros, JobSpec spec) {}

  /**
   * Maximum number of arrivals kept, whatever the window. It allows for about 80 arrivals per
   * second over the usual window and takes a few megabytes at most.
   */
  private static final int MAX_ARRIVALS = 10_000;

  /**
   * Time added to each task's run time: from a task's end to the next task's start, and a share of
   * the time to fetch an image.
   */
  private static final double TASK_OVERHEAD_SECONDS = 3;

  /** Weight of the previous average in {@link ClassLoad#tasksPerJob}. */
  private static final double AVERAGE_WEIGHT = 0.8;

  /** Weight of a new job in {@link ClassLoad#tasksPerJob}. */
  private static final double ARRIVAL_WEIGHT = 0.2;

  private static final double MICROS_PER_SECOND = 1e6;

  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

  /** Records a job, at the time from which its waiting time counts. */
  void onArrival(Job job) {
    arrivals.add(new Arrival(job.readyMicros(), job.spec()));
    if (arrivals.size() > MAX_ARRIVALS) {
      arrivals.poll();
    }
  }

  /**
   * Returns the load of each job class over a window that ends now.
   *
   * @param wallMicros the time of day, in microseconds since the epoch
   * @param windowMicros the length of the window, in microseconds
   */
  Map<String, ClassLoad> loads(long wallMicros, long windowMicros, RuntimeEstimates estimates) {
    arrivals.removeIf(arrival -> arrival.atMicros() < wallMicros - windowMicros);
    Map<String, ClassLoad> loads = new HashMap<>();
    double windowSeconds = windowMicros / MICROS_PER_SECOND;
    for (Arrival arrival : arrivals) {
      JobSpec spec = arrival.spec();
      double runningTasks = spec.tasks() * runSeconds(spec, estimates) / windowSeconds;
      ClassLoad previous = loads.get(spec.jobClass());
      ClassLoad load =
          previous == null
              ? new ClassLoad(spec, runningTasks, 1 / windowSeconds, spec.tasks())
              : new ClassLoad(
                  spec,
                  previous.runningTasks() + runningTasks,
                  previous.jobsPerSecond() + 1 / windowSeconds,
                  AVERAGE_WEIGHT * previous.tasksPerJob() + ARRIVAL_WEIGHT * spec.tasks());
      loads.put(spec.jobClass(), load);
    }
    return loads;
  }

  /**
   * Returns how long a task keeps its resources, in seconds; 0 for replicas of services, which are
   * counted separately.
   */
  private static double runSeconds(JobSpec spec, RuntimeEstimates estimates) {
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return 0;
    }
    return estimates.runMicros(spec) / MICROS_PER_SECOND + TASK_OVERHEAD_SECONDS;
  }
}
