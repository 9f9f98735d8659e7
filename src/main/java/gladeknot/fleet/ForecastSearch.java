package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Searches a forecast for machines for one job's tasks; what they share is worked out once. */
final class ForecastSearch {
  private static final int NONE_SEEN = -1;

  private final Forecast forecast;
  private final JobSpec spec;
  private final int shard;
  private final List<StartTimeQueue> byType = new ArrayList<>();
  private final List<StartTimeQueue> byImage = new ArrayList<>();

  /** How many pairs of zone and type the queues cover. */
  private int pairsSeen = NONE_SEEN;

  private long startMicros = Forecast.NEVER;

  ForecastSearch(Forecast forecast, JobSpec spec, int shard) {
    this.forecast = forecast;
    this.spec = spec;
    this.shard = shard;
  }

  /**
   * A machine that could start a task at once, or once it is up; null if none could (a hot loop).
   */
  MachineTimeline immediate(Map<String, Integer> tasksByZone) {
    findQueues();
    List<MachineTimeline> machines = forecast.machines();
    int first = machines.size();
    for (StartTimeQueue queue : byType) {
      if (spec.allowsZone(queue.zone(), tasksByZone)) {
        first = Math.min(first, queue.firstImmediate());
      }
    }
    if (first == machines.size()) {
      startMicros = Forecast.NEVER;
      return null;
    }
    startMicros = machines.get(first).earliestStartMicros(spec);
    return machines.get(first);
  }

  /** The machine on which the next task would run first; null if on none (a hot loop). */
  MachineTimeline earliest(Map<String, Integer> tasksByZone) {
    findQueues();
    StartTimeQueue.Candidate earliest = earliest(byType, tasksByZone, null);
    earliest = earliest(byImage, tasksByZone, earliest);
    startMicros = earliest == null ? Forecast.NEVER : earliest.startMicros();
    return earliest == null ? null : earliest.machine();
  }

  /** When a task could start on the machine found last, by the steady clock. */
  long startMicros() {
    return startMicros;
  }

  private void findQueues() {
    int pairs = forecast.zones().size() * forecast.types().size();
    if (pairsSeen == pairs) {
      return;
    }
    pairsSeen = pairs;
    byType.clear();
    byImage.clear();
    for (String zone : forecast.zones()) {
      if (spec.zone() == null || spec.zone().equals(zone)) {
        for (String type : forecast.types()) {
          if (spec.machineTypes() == null || spec.machineTypes().contains(type)) {
            byType.add(queue(zone, type, null));
          }
        }
        byImage.add(queue(zone, null, spec.image()));
      }
    }
  }

  private StartTimeQueue queue(String zone, String type, String image) {
    StartTimeQueue.Key key =
        new StartTimeQueue.Key(
            spec.cpus(),
            spec.gpus(),
            spec.memory(),
            spec.machineTypes(),
            spec.spotAllowed(),
            zone,
            shard,
            type,
            image);
    return forecast.queue(spec, key);
  }

  private StartTimeQueue.Candidate earliest(
      List<StartTimeQueue> queues,
      Map<String, Integer> tasksByZone,
      StartTimeQueue.Candidate bestSoFar) {
    StartTimeQueue.Candidate best = bestSoFar;
    for (StartTimeQueue queue : queues) {
      StartTimeQueue.Candidate first =
          spec.allowsZone(queue.zone(), tasksByZone) ? queue.earliest() : null;
      if (first != null && (best == null || runsBefore(first, best))) {
        best = first;
      }
    }
    return best;
  }

  private boolean runsBefore(StartTimeQueue.Candidate one, StartTimeQueue.Candidate other) {
    long oneMicros = one.startMicros() + one.machine().fetchMicros(spec);
    long otherMicros = other.startMicros() + other.machine().fetchMicros(spec);
    return oneMicros != otherMicros ? oneMicros < otherMicros : one.order() < other.order();
  }
}
