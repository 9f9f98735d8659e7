package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Machines ordered by the time at which a task of certain requirements could start on them. Placing
 * a task can only delay the start times of its machine, so a machine is evaluated again only when
 * it reaches the front. Evaluating every machine for every pending task took most of the time of a
 * large fleet's forecasts, and so did a queue of all machines for every image.
 */
final class StartTimeQueue {
  /**
   * The properties that decide on which machines a task may start and when. Many jobs share them. A
   * queue holds the machines of one zone and, for gangs, of one shard. It holds either the machines
   * of one type or those that have an image in their cache.
   *
   * @param shard the shard, or {@link Forecast#ANY_SHARD}
   * @param type the machine type; null for a queue by image
   * @param image the cached image; null for a queue by type
   */
  record Key(
      long cpus,
      long gpus,
      long memory,
      List<String> allowedTypes,
      boolean spotAllowed,
      String zone,
      int shard,
      String type,
      String image) {}

  /**
   * The time at which a machine could start a task.
   *
   * @param machineIndex the machine's index in the forecast, by which equal start times are ordered
   * @param version the version of the machine's timeline for which the time was computed
   */
  record Candidate(long startMicros, int machineIndex, MachineTimeline machine, int version) {}

  private final JobSpec spec;
  private final Key key;

  /** All machines of the forecast. The forecast adds machines while the queue is in use. */
  private final List<MachineTimeline> machines;

  private final PriorityQueue<Candidate> candidates =
      new PriorityQueue<>(
          (a, b) ->
              a.startMicros != b.startMicros
                  ? Long.compare(a.startMicros, b.startMicros)
                  : Integer.compare(a.machineIndex, b.machineIndex));

  /**
   * Index of the first machine that may start a task at once. The machines before it can't, and
   * placing further tasks doesn't change that.
   */
  private int firstImmediateIndex;

  private long evaluations;

  StartTimeQueue(JobSpec spec, Key key, List<MachineTimeline> machines) {
    this.spec = spec;
    this.key = key;
    this.machines = machines;
    for (int i = 0; i < machines.size(); i++) {
      add(machines.get(i), i);
    }
  }

  String zone() {
    return key.zone();
  }

  /** Returns how many times a machine was evaluated. */
  long evaluations() {
    return evaluations;
  }

  private boolean includes(MachineTimeline machine) {
    return machine.zone().equals(key.zone())
        && (key.shard() == Forecast.ANY_SHARD || machine.shard() == key.shard())
        && (key.type() == null || machine.type().name().equals(key.type()))
        && (key.image() == null || machine.hasImage(key.image()));
  }

  /**
   * Adds a machine of the forecast if it matches this queue's key.
   *
   * @param machineIndex the machine's index in the forecast
   */
  void add(MachineTimeline machine, int machineIndex) {
    if (includes(machine)) {
      evaluate(machine, machineIndex);
    }
  }

  private void evaluate(MachineTimeline machine, int machineIndex) {
    evaluations++;
    long startMicros = machine.earliestStartMicros(spec);
    if (startMicros < Forecast.NEVER_MICROS) {
      candidates.add(new Candidate(startMicros, machineIndex, machine, machine.version()));
    }
  }

  /**
   * Returns the index of the first machine that could start a task at once or as soon as the
   * machine is up; the number of all machines if there is none.
   */
  int firstImmediateIndex() {
    while (firstImmediateIndex < machines.size()) {
      MachineTimeline machine = machines.get(firstImmediateIndex);
      if (includes(machine)) {
        evaluations++;
        if (machine.earliestStartMicros(spec) <= machine.fromMicros()) {
          break;
        }
      }
      firstImmediateIndex++;
    }
    return firstImmediateIndex;
  }

  /**
   * Returns the machine that could start a task first. Called in a hot loop, so it returns null
   * rather than an empty optional if no machine could.
   */
  Candidate earliest() {
    while (!candidates.isEmpty()) {
      Candidate first = candidates.peek();
      if (first.version() == first.machine().version()) {
        return first;
      }
      candidates.poll();
      evaluate(first.machine(), first.machineIndex());
    }
    return null;
  }
}
