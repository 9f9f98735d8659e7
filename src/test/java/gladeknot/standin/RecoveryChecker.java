package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.SECOND;

import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Checks, once all faults are over, that no job is forgotten or left waiting for nothing. */
final class RecoveryChecker {
  private static final long FORGOTTEN = 75 * SECOND;
  private static final long LEFT_WAITING = 90 * SECOND;
  private static final long MACHINE_CPUS = 4;

  private final SimulatedClock clock;
  private final SimulatedMachines machines;
  private final ObservedJobs jobs;
  private final SimulatedUsers users;
  private final ClusterScale scale;
  private final Violations violations;
  private OptionalLong faultsEnded = OptionalLong.empty();

  /** What the machines have free by zone, and where a job's tasks are. */
  private static final class Placement {
    private final Map<String, Long> freeCpus = new TreeMap<>();
    private final Map<String, Long> tasksOfJob = new TreeMap<>();
    private long runningOfJob;
    private long running;
  }

  RecoveryChecker(
      SimulatedClock clock,
      SimulatedMachines machines,
      ObservedJobs jobs,
      SimulatedUsers users,
      ClusterScale scale,
      Violations violations) {
    this.clock = clock;
    this.machines = machines;
    this.jobs = jobs;
    this.users = users;
    this.scale = scale;
    this.violations = violations;
  }

  /** All faults are over: from now on nothing may be forgotten or left waiting. */
  void faultsEnded() {
    faultsEnded = OptionalLong.of(clock.now());
  }

  /** Checks all jobs if the faults are over. */
  void check() {
    if (faultsEnded.isEmpty()) {
      return;
    }
    for (ObservedJob job : jobs.all()) {
      if (job.isAccepted()) {
        check(job, faultsEnded.getAsLong());
      }
    }
  }

  private void check(ObservedJob job, long since) {
    long answered = Math.max(job.answeredMicros(), since);
    if (users.isPolling() && clock.now() - answered > FORGOTTEN) {
      violations.add("forgotten: nothing about " + job.id() + " is answered");
    }
    if (job.isCancelled() || jobs.mustWait(job) || !couldStart(job)) {
      job.couldNotStart();
      return;
    }
    job.couldStart(clock.now());
    if (job.waitedLongerThan(LEFT_WAITING, clock.now())) {
      violations.add("left waiting: " + job.id());
    }
  }

  /** Whether a task of a job, or a whole gang, waits though the resources for it are free. */
  private boolean couldStart(ObservedJob job) {
    Placement placement = placement(job);
    long waiting = job.tasks() - job.doneTasks() - placement.runningOfJob;
    long needed = job.isGang() ? job.tasks() : 1;
    if (waiting < needed || scale.exceedsTeamLimit(placement.running + needed)) {
      return false;
    }
    long free = 0;
    for (Map.Entry<String, Long> zone : placement.freeCpus.entrySet()) {
      if (job.allowsZone(zone.getKey(), placement.tasksOfJob.get(zone.getKey()))) {
        free = job.isColocated() ? Math.max(free, zone.getValue()) : free + zone.getValue();
      }
    }
    return free >= needed;
  }

  private Placement placement(ObservedJob job) {
    Placement placement = new Placement();
    for (SimulatedMachine machine : machines.all()) {
      int tasks = 0;
      long ofJob = 0;
      for (FakeWorker.Task task : machine.liveTasks()) {
        tasks++;
        ofJob += task.name().startsWith(job.id() + "/") ? 1 : 0;
      }
      placement.runningOfJob += ofJob;
      placement.running += tasks;
      placement.tasksOfJob.merge(machine.zone(), ofJob, Long::sum);
      if (machine.isUsable()) {
        placement.freeCpus.merge(machine.zone(), MACHINE_CPUS - tasks, Long::sum);
      }
    }
    return placement;
  }
}
