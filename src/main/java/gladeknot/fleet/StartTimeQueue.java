package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Machines in the order in which a task of certain requirements could start on them. Placing tasks
 * only makes a machine's start later, so it is evaluated again only when it comes to the front:
 * evaluating every machine for every pending task took most of a large fleet's forecasts, and so
 * did a queue of all machines for every image.
 */
final class StartTimeQueue {
  /**
   * What decides on which machines a task may start and when; many jobs share it. A queue is for
   * one zone and, for gangs, for one shard; either for the machines of one type or for those that
   * have an image.
   *
   * @param shard the shard, or {@link Forecast#ANY_SHARD}
   * @param type the machine type; null for a queue by image
   * @param image the image; null for a queue by type
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

  /** When a machine could start a task, as of a version of the machine's timeline. */
  record Candidate(long startMicros, int order, MachineTimeline machine, int version) {}

  private final JobSpec spec;
  private final Key key;

  /** All machines of the forecast, which adds to them. */
  private final List<MachineTimeline> machines;

  private final PriorityQueue<Candidate> candidates =
      new PriorityQueue<>(
          (a, b) ->
              a.startMicros != b.startMicros
                  ? Long.compare(a.startMicros, b.startMicros)
                  : Integer.compare(a.order, b.order));

  /** The machines before this one can't start a task at once, and won't while tasks are placed. */
  private int firstImmediate;

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

  /** How many times a machine was evaluated. */
  long evaluations() {
    return evaluations;
  }

  private boolean includes(MachineTimeline machine) {
    return machine.zone().equals(key.zone())
        && (key.shard() == Forecast.ANY_SHARD || machine.shard() == key.shard())
        && (key.type() == null || machine.type().name().equals(key.type()))
        && (key.image() == null || machine.hasImage(key.image()));
  }

  /** Adds a machine of the forecast, by its place among all, if it belongs here. */
  void add(MachineTimeline machine, int order) {
    if (includes(machine)) {
      evaluate(machine, order);
    }
  }

  private void evaluate(MachineTimeline machine, int order) {
    evaluations++;
    long startMicros = machine.earliestStartMicros(spec);
    if (startMicros < Forecast.NEVER) {
      candidates.add(new Candidate(startMicros, order, machine, machine.version()));
    }
  }

  /**
   * The place of the first machine that could start a task at once, or once it is up; the number of
   * all machines if none could.
   */
  int firstImmediate() {
    while (firstImmediate < machines.size()) {
      MachineTimeline machine = machines.get(firstImmediate);
      if (includes(machine)) {
        evaluations++;
        if (machine.earliestStartMicros(spec) <= machine.fromMicros()) {
          break;
        }
      }
      firstImmediate++;
    }
    return firstImmediate;
  }

  /** The machine that could start a task first; null if none could (a hot loop). */
  Candidate earliest() {
    while (!candidates.isEmpty()) {
      Candidate first = candidates.peek();
      if (first.version() == first.machine().version()) {
        return first;
      }
      candidates.poll();
      evaluate(first.machine(), first.order());
    }
    return null;
  }
}
