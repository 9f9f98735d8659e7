package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Forecast of when pending tasks start on the existing machines and the instances in flight. Tasks
 * are placed one after the other, in the order in which they would be scheduled.
 */
final class Forecast {
  /** Time that is never reached. It is small enough for durations to be added without overflow. */
  static final long NEVER_MICROS = Long.MAX_VALUE / 4;

  /** Stands for the machines of all shards in place of a shard's number. */
  static final int ANY_SHARD = -1;

  private static final int NO_PRIORITY = -1;

  /**
   * A task that runs on a machine from {@code fromMicros} to {@code toMicros}, with the resources
   * that it takes, in billionths.
   */
  record RunningTask(
      JobSpec.Priority priority,
      MachineTimeline machine,
      long fromMicros,
      long toMicros,
      long cpus,
      long gpus,
      long memory) {}

  private final List<MachineTimeline> machines = new ArrayList<>();
  private final Set<String> zones = new LinkedHashSet<>();
  private final Set<String> types = new LinkedHashSet<>();
  private final List<RunningTask> runningTasks = new ArrayList<>();
  private final Map<StartTimeQueue.Key, StartTimeQueue> queues = new HashMap<>();

  /**
   * Ordinal of the lowest priority admitted so far. Many pending jobs share a priority, which needs
   * to be admitted only once.
   */
  private int lowestAdmittedOrdinal = NO_PRIORITY;

  /** Adds a running task. It takes resources once its priority is admitted. */
  void addRunning(RunningTask task) {
    runningTasks.add(task);
  }

  /**
   * Lets the running tasks of a priority and of the priorities above it take their resources. Tasks
   * of lower priority can be preempted, so they don't delay pending tasks of this priority.
   */
  void admit(JobSpec.Priority priority) {
    if (priority.ordinal() <= lowestAdmittedOrdinal) {
      return;
    }
    lowestAdmittedOrdinal = priority.ordinal();
    runningTasks.removeIf(task -> reserveIfAdmitted(task, priority));
  }

  private static boolean reserveIfAdmitted(RunningTask task, JobSpec.Priority lowest) {
    if (task.priority().ordinal() > lowest.ordinal()) {
      return false;
    }
    task.machine()
        .reserve(task.fromMicros(), task.toMicros(), task.cpus(), task.gpus(), task.memory());
    return true;
  }

  /** Adds a machine. May be called while tasks are being placed. */
  void add(MachineTimeline machine) {
    machines.add(machine);
    zones.add(machine.zone());
    types.add(machine.type().name());
    int machineIndex = machines.size() - 1;
    queues.values().forEach(queue -> queue.add(machine, machineIndex));
  }

  List<MachineTimeline> machines() {
    return machines;
  }

  Set<String> zones() {
    return zones;
  }

  Set<String> types() {
    return types;
  }

  /** Returns how many times a machine was evaluated for a task. */
  long evaluations() {
    long evaluations = 0;
    for (StartTimeQueue queue : queues.values()) {
      evaluations += queue.evaluations();
    }
    return evaluations;
  }

  /**
   * Returns a search for machines for the tasks of one job, on the machines of one shard or, with
   * {@link #ANY_SHARD}, on those of all shards.
   */
  ForecastSearch search(JobSpec spec, int shard) {
    return new ForecastSearch(this, spec, shard);
  }

  StartTimeQueue queue(JobSpec spec, StartTimeQueue.Key key) {
    return queues.computeIfAbsent(key, newKey -> new StartTimeQueue(spec, newKey, machines));
  }

  /**
   * Returns the zone in which most of a job's tasks fit on a shard's machines at a time. Of equal
   * zones the first one is returned. Null if there are no zones.
   */
  String zoneWithMostCapacity(JobSpec spec, int shard, long atMicros, List<String> candidateZones) {
    String best = null;
    long most = -1;
    for (String zone : candidateZones) {
      long fitting = 0;
      for (MachineTimeline machine : machines) {
        if (machine.shard() == shard && machine.zone().equals(zone)) {
          fitting += machine.fittingTasks(spec, atMicros);
        }
      }
      if (fitting > most) {
        best = zone;
        most = fitting;
      }
    }
    return best;
  }

  /**
   * Places a task on a machine as early as it can start. Returns the time at which the task would
   * be running.
   */
  long place(MachineTimeline machine, JobSpec spec, long runMicros) {
    return place(machine, spec, machine.earliestStartMicros(spec), runMicros, 1);
  }

  /**
   * Places tasks that start together on a machine. Returns the time at which they would be running.
   */
  long place(MachineTimeline machine, JobSpec spec, long startMicros, long runMicros, int count) {
    long runningMicros = startMicros + machine.fetchMicros(spec);
    long endMicros = runMicros >= NEVER_MICROS ? NEVER_MICROS : runningMicros + runMicros;
    machine.reserve(
        startMicros, endMicros, spec.cpus() * count, spec.gpus() * count, spec.memory() * count);
    return runningMicros;
  }
}
