package gladeknot.fleet;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.RuntimeEstimates;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** The arrivals of late by job class: how much of each class is likely to run at any time. */
final class ArrivalRates {
  /**
   * The load of a class over a window.
   *
   * @param example the newest job of the class, taken to be like those to come
   * @param runningTasks how many tasks run on average
   * @param jobsPerS how many jobs arrive in a second
   * @param tasksPerJob how many tasks a job has, a moving average
   */
  record ClassLoad(JobSpec example, double runningTasks, double jobsPerS, double tasksPerJob) {}

  private record Arrival(long atMicros, JobSpec spec) {}

  /**
   * How many arrivals are kept, whatever the window: about 80 a second over its usual length, which
   * take a few megabytes at most.
   */
  private static final int MAX_ARRIVALS = 10_000;

  /** From a task's end to the next one's start, and a share of an image's fetch. */
  private static final double OVERHEAD_S = 3;

  /** Weights of the average so far and of a new job in {@link ClassLoad#tasksPerJob}. */
  private static final double AVERAGE_WEIGHT = 0.8;

  private static final double ARRIVAL_WEIGHT = 0.2;

  private static final double MICROS_PER_S = 1e6;

  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

  /** Notes a job, by the time from which its waits count. */
  void onArrival(Job job) {
    arrivals.add(new Arrival(job.readyMicros(), job.spec()));
    if (arrivals.size() > MAX_ARRIVALS) {
      arrivals.poll();
    }
  }

  /** Each class's load over a window that ends now, in microseconds of the time of day. */
  Map<String, ClassLoad> loads(long wallMicros, long windowMicros, RuntimeEstimates estimates) {
    arrivals.removeIf(arrival -> arrival.atMicros() < wallMicros - windowMicros);
    Map<String, ClassLoad> loads = new HashMap<>();
    double windowS = windowMicros / MICROS_PER_S;
    for (Arrival arrival : arrivals) {
      JobSpec spec = arrival.spec();
      double tasks = spec.tasks() * runS(spec, estimates) / windowS;
      ClassLoad soFar = loads.get(spec.jobClass());
      ClassLoad load =
          soFar == null
              ? new ClassLoad(spec, tasks, 1 / windowS, spec.tasks())
              : new ClassLoad(
                  spec,
                  soFar.runningTasks() + tasks,
                  soFar.jobsPerS() + 1 / windowS,
                  AVERAGE_WEIGHT * soFar.tasksPerJob() + ARRIVAL_WEIGHT * spec.tasks());
      loads.put(spec.jobClass(), load);
    }
    return loads;
  }

  /** How long a task keeps its resources; replicas of services are counted apart. */
  private static double runS(JobSpec spec, RuntimeEstimates estimates) {
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return 0;
    }
    return estimates.runMicros(spec) / MICROS_PER_S + OVERHEAD_S;
  }
}
