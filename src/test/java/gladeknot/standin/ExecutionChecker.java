package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.SECOND;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Checks which tasks the machines run, and keeps which have completed. */
final class ExecutionChecker {
  /** A start that a controller sent before it could know of a cancellation is this old at most. */
  private static final long START_GRACE = 7 * SECOND;

  private final SimulatedClock clock;
  private final SimulatedMachines machines;
  private final ObservedJobs jobs;
  private final FaultInjection faults;
  private final ClusterScale scale;
  private final Violations violations;
  private int starts;

  ExecutionChecker(
      SimulatedClock clock,
      SimulatedMachines machines,
      ObservedJobs jobs,
      FaultInjection faults,
      ClusterScale scale,
      Violations violations) {
    this.clock = clock;
    this.machines = machines;
    this.jobs = jobs;
    this.faults = faults;
    this.scale = scale;
    this.violations = violations;
  }

  /** How many starts machines have carried out since the beginning. */
  int starts() {
    return starts;
  }

  /** Checks all machines. */
  void check() {
    Map<String, String> hostsByTask = new HashMap<>();
    int running = 0;
    for (SimulatedMachine machine : machines.all()) {
      machine.worker().finished().forEach(jobs::taskDone);
      if (machine.isDead()) {
        continue;
      }
      machine.newStarts().forEach(this::checkStart);
      if (machine.isFrozen() && machine.worker().lapsed(clock.now())) {
        // It will drop its tasks before anything else when it resumes.
        continue;
      }
      for (FakeWorker.Task task : machine.worker().live()) {
        running++;
        checkTask(machine.host(), task.name(), hostsByTask);
      }
    }
    if (scale.exceedsTeamLimit(running)) {
      violations.add("quota: " + running + " CPUs");
    }
  }

  private void checkStart(String task) {
    starts++;
    Optional<ObservedJob> job = jobs.ofTask(task);
    if (job.isEmpty()) {
      return;
    }
    if (job.get().cancelledLongerThan(START_GRACE + faults.commandDelay(), clock.now())) {
      violations.add("started after its cancellation: " + task);
    }
    if (jobs.mustWait(job.get())) {
      violations.add("too_early: " + task);
    }
  }

  private void checkTask(String host, String task, Map<String, String> hostsByTask) {
    String other = hostsByTask.put(task, host);
    if (other != null) {
      violations.add("ran_twice: " + task + " on " + other + " and " + host);
    }
    Optional<ObservedJob> job = jobs.ofTask(task);
    if (job.isPresent() && job.get().cancelledLongerThan(ClusterSettings.CANCEL, clock.now())) {
      violations.add("ran_cancelled: " + task);
    }
  }
}
