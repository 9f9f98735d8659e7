package gladeknot.lifecycle;

import gladeknot.workers.Worker;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The machines on which tasks of each job have failed since one of the job's tasks last completed.
 * A job that fails on several machines is taken to be at fault itself, for example because it was
 * submitted with a mistake. Its failures don't count against the machines.
 */
final class JobFailures {
  /** Number of machines on which a job at fault has failed. */
  private static final int MIN_MACHINES = 2;

  private final Map<String, Set<Worker>> workersByJob = new HashMap<>();

  /** Records the failure of a job's task on a worker. */
  void onFailed(String job, Worker worker, long nowMicros) {
    Set<Worker> workers = workersByJob.computeIfAbsent(job, absent -> new HashSet<>());
    workers.add(worker);
    worker.recordFailure(job, nowMicros);
    if (workers.size() >= MIN_MACHINES) {
      workers.forEach(failed -> failed.forgetFailuresOf(job));
    }
  }

  /** Records that a job's task has completed on a worker: neither is at fault. */
  void onSucceeded(String job, Worker worker) {
    workersByJob.remove(job);
    worker.resetFailures();
  }

  /** Forgets a job that is finished. */
  void onFinished(String job) {
    workersByJob.remove(job);
  }
}
