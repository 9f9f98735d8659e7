package gladeknot.workers;

import java.util.HashSet;
import java.util.Set;

/**
 * Task failures on a machine since a task last completed there. Each failure quarantines the
 * machine for a while. Failures of several jobs indicate that the machine is at fault: it is
 * cordoned, and gets one task at a time, after longer quarantines, until one completes.
 */
final class WorkerFailures {
  /** Number of jobs whose failures cordon a machine. */
  private static final int CORDON_JOBS = 3;

  /** Quarantine after a failure, before it is doubled for each failure, including the first. */
  private static final long QUARANTINE_MICROS = 1_000_000;

  private static final int MAX_QUARANTINE_DOUBLINGS = 5;
  private static final long MAX_QUARANTINE_MICROS = 30_000_000;

  /** Quarantine of a machine when it is cordoned; doubled for each further failure. */
  private static final long CORDON_MICROS = 15_000_000;

  private static final int MAX_CORDON_DOUBLINGS = 4;

  private final Set<String> failedJobs = new HashSet<>();
  private int failures;
  private int failuresSinceCordon;
  private long lastFailureMicros;
  private long quarantinedUntilMicros;

  /** Counts a failure of a job's task and quarantines the machine. */
  void recordFailure(String job, long nowMicros) {
    failures++;
    failedJobs.add(job);
    lastFailureMicros = nowMicros;
    quarantineUntil(nowMicros + quarantineMicros());
  }

  private long quarantineMicros() {
    if (isCordoned()) {
      return CORDON_MICROS << Math.min(MAX_CORDON_DOUBLINGS, failuresSinceCordon++);
    }
    int doublings = Math.min(MAX_QUARANTINE_DOUBLINGS, failures);
    return Math.min(MAX_QUARANTINE_MICROS, QUARANTINE_MICROS << doublings);
  }

  /** Forgets the failures of a job that is itself at fault. */
  void forgetFailuresOf(String job) {
    failedJobs.remove(job);
    if (!isCordoned()) {
      failuresSinceCordon = 0;
    }
  }

  /** Forgets all failures, after a task has completed on the machine. */
  void reset() {
    failedJobs.clear();
    failures = 0;
    failuresSinceCordon = 0;
  }

  /** Returns whether so many jobs have failed that the machine is taken to be at fault. */
  boolean isCordoned() {
    return failedJobs.size() >= CORDON_JOBS;
  }

  long lastFailureMicros() {
    return lastFailureMicros;
  }

  void quarantineUntil(long micros) {
    quarantinedUntilMicros = micros;
  }

  long quarantinedUntilMicros() {
    return quarantinedUntilMicros;
  }
}
