package gladeknot.standin;

import static gladeknot.standin.SimulatedClock.MICROS_PER_SECOND;

import gladeknot.settings.Settings;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Checks the tasks that machines run, and records which tasks have completed. */
final class ExecutionChecker {
  /**
   * Maximum age of a start command that a controller sent before it could know of a cancellation,
   * in microseconds.
   */
  private static final long START_GRACE_MICROS = 7 * MICROS_PER_SECOND;

  private final SimulatedClock clock;
  private final SimulatedMachines machines;
  private final ObservedJobs jobs;
  private final FaultInjection faults;
  private final TeamLimits limits;
  private final Violations violations;
  private final Map<String, ResourceUse> usageBefore = new HashMap<>();
  private int starts;

  ExecutionChecker(
      SimulatedClock clock,
      SimulatedMachines machines,
      ObservedJobs jobs,
      FaultInjection faults,
      TeamLimits limits,
      Violations violations) {
    this.clock = clock;
    this.machines = machines;
    this.jobs = jobs;
    this.faults = faults;
    this.limits = limits;
    this.violations = violations;
  }

  /** Returns the number of attempts that machines have started since the beginning. */
  int starts() {
    return starts;
  }

  /** Checks all machines. */
  void check() {
    Map<String, String> hostsByTask = new HashMap<>();
    Map<String, ResourceUse> usageByTeam = new HashMap<>();
    for (SimulatedMachine machine : machines.all()) {
      machine.worker().finished().forEach(jobs::taskDone);
      if (machine.isDead()) {
        continue;
      }
      machine.newStarts().forEach(this::checkStart);
      if (machine.isFrozen() && machine.worker().isLeaseExpired(clock.now())) {
        // The worker's lease has expired, so it drops its tasks before anything else when it
        // resumes.
        continue;
      }
      for (FakeWorker.Task task : machine.worker().live()) {
        jobs.ofTask(task.name())
            .ifPresent(job -> usageByTeam.merge(job.team(), job.taskUse(), ResourceUse::plus));
        checkTask(machine.host(), task.name(), hostsByTask);
      }
    }
    limits.teams().forEach(team -> checkLimit(team, usageByTeam));
    usageBefore.keySet().retainAll(usageByTeam.keySet());
    usageBefore.putAll(usageByTeam);
  }

  private void checkLimit(Settings.Team team, Map<String, ResourceUse> usageByTeam) {
    ResourceUse usage = usageByTeam.getOrDefault(team.name(), ResourceUse.NONE);
    ResourceUse before = usageBefore.getOrDefault(team.name(), ResourceUse.NONE);
    // A limit that was lowered below the usage stops no running task; it only prevents new starts.
    if (usage.exceeds(team) && usage.exceeds(before)) {
      violations.add("quota: " + team.name() + " uses " + usage);
    }
  }

  private void checkStart(String task) {
    starts++;
    Optional<ObservedJob> job = jobs.ofTask(task);
    if (job.isEmpty()) {
      return;
    }
    if (job.get()
        .cancelledLongerThan(START_GRACE_MICROS + faults.commandDelayMicros(), clock.now())) {
      violations.add("started after its cancellation: " + task);
    }
    if (jobs.mustWait(job.get())) {
      violations.add("too_early: " + task);
    }
  }

  private void checkTask(String host, String task, Map<String, String> hostsByTask) {
    String otherHost = hostsByTask.put(task, host);
    if (otherHost != null) {
      violations.add("ran_twice: " + task + " on " + otherHost + " and " + host);
    }
    Optional<ObservedJob> job = jobs.ofTask(task);
    if (job.isPresent()
        && job.get().cancelledLongerThan(ClusterSettings.CANCEL_MICROS, clock.now())) {
      violations.add("ran_cancelled: " + task);
    }
  }
}
