package gladeknot.fleet;

import gladeknot.jobs.Job;
import gladeknot.jobs.JobSpec;
import gladeknot.tasks.RuntimeEstimates;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** What has come in of late, by class: how much of each is likely to run at any time. */
final class Demand {
  /** A class as it was seen of late: a job like those to come, and tasks at work on average. */
  record Load(JobSpec like, double tasks, double jobsPerS, double tasksPerJob) {}

  private record Arrival(long atMicros, JobSpec spec) {}

  /**
   * How many arrivals are kept, whatever the window: about 80 a second over its usual length, which
   * take a few megabytes at most.
   */
  private static final int MOST = 10_000;

  private final ArrayDeque<Arrival> arrivals = new ArrayDeque<>();

  /** Notes a job, by the time from which its waits count. */
  void came(Job job) {
    arrivals.add(new Arrival(job.readyMicros(), job.spec()));
    if (arrivals.size() > MOST) {
      arrivals.poll();
    }
  }

  /** Each class's load over a window that ends now. */
  Map<String, Load> loads(long wallMicros, long windowMicros, RuntimeEstimates estimates) {
    arrivals.removeIf(a -> a.atMicros() < wallMicros - windowMicros);
    Map<String, Load> loads = new HashMap<>();
    double windowS = windowMicros / 1e6;
    for (Arrival a : arrivals) {
      JobSpec spec = a.spec();
      Load before = loads.get(spec.jobClass());
      double runS =
          spec.shape() == JobSpec.Shape.SERVICE ? 0 : estimates.runMicros(spec) / 1e6 + OVERHEAD_S;
      double tasks = spec.tasks() * runS / windowS;
      loads.put(
          spec.jobClass(),
          before == null
              ? new Load(spec, tasks, 1 / windowS, spec.tasks())
              : new Load(
                  spec,
                  before.tasks() + tasks,
                  before.jobsPerS() + 1 / windowS,
                  0.8 * before.tasksPerJob() + 0.2 * spec.tasks()));
    }
    return loads;
  }

  /** From a task's end to the next one's start, and a share of an image's fetch. */
  private static final double OVERHEAD_S = 3;
}
