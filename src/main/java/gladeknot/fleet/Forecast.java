package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * When pending tasks will start on the machines there are and those that were requested. Tasks are
 * placed one after the other, in the order in which they would be scheduled.
 */
final class Forecast {
  /** A time that doesn't come; small enough to add to. */
  static final long NEVER = Long.MAX_VALUE / 4;

  /** Instead of a shard's number: the machines of all shards. */
  static final int ANY_SHARD = -1;

  private static final int NO_PRIORITY = -1;

  /** A task that runs on a machine, from a time to another, with what it takes in thousandths. */
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

  /** The lowest priority admitted so far, as its ordinal; many pending jobs share one. */
  private int admitted = NO_PRIORITY;

  /** Adds a task that runs; it counts once its priority is admitted. */
  void addRunning(RunningTask task) {
    runningTasks.add(task);
  }

  /**
   * From here on running tasks of a priority, and of those above it, take their resources. Tasks
   * below it can be preempted, and keep no pending task of this priority waiting.
   */
  void admit(JobSpec.Priority priority) {
    if (priority.ordinal() <= admitted) {
      return;
    }
    admitted = priority.ordinal();
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

  /** Adds a machine, also while tasks are being placed. */
  void add(MachineTimeline machine) {
    machines.add(machine);
    zones.add(machine.zone());
    types.add(machine.type().name());
    int order = machines.size() - 1;
    queues.values().forEach(queue -> queue.add(machine, order));
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

  /** How many times a machine was evaluated for a task. */
  long evaluations() {
    long evaluations = 0;
    for (StartTimeQueue queue : queues.values()) {
      evaluations += queue.evaluations();
    }
    return evaluations;
  }

  /** Searches for the tasks of one job, on one shard's machines or on those of any shard. */
  ForecastSearch search(JobSpec spec, int shard) {
    return new ForecastSearch(this, spec, shard);
  }

  StartTimeQueue queue(JobSpec spec, StartTimeQueue.Key key) {
    return queues.computeIfAbsent(key, absent -> new StartTimeQueue(spec, absent, machines));
  }

  /**
   * The zone in which most of a job's tasks fit on a shard's machines at a time; the first of equal
   * ones. Null if there are no zones.
   */
  String zoneWithMostCapacity(JobSpec spec, int shard, long atMicros, List<String> among) {
    String best = null;
    long most = -1;
    for (String zone : among) {
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

  /** Places a task on a machine as early as it can start; returns when it would be running. */
  long place(MachineTimeline machine, JobSpec spec, long runMicros) {
    return place(machine, spec, machine.earliestStartMicros(spec), runMicros, 1);
  }

  /** Places tasks on a machine that start together; returns when they would be running. */
  long place(MachineTimeline machine, JobSpec spec, long startMicros, long runMicros, int count) {
    long runningMicros = startMicros + machine.fetchMicros(spec);
    long endMicros = runMicros >= NEVER ? NEVER : runningMicros + runMicros;
    machine.reserve(
        startMicros, endMicros, spec.cpus() * count, spec.gpus() * count, spec.memory() * count);
    return runningMicros;
  }
}
