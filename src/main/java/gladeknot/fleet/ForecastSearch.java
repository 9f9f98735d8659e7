package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Searches a forecast for machines for one job's tasks. The queues that the tasks share are looked
 * up only when the forecast's zones or machine types have changed.
 */
final class ForecastSearch {
  private static final int NONE_COVERED = -1;

  private final Forecast forecast;
  private final JobSpec spec;
  private final int shard;
  private final List<StartTimeQueue> byType = new ArrayList<>();
  private final List<StartTimeQueue> byImage = new ArrayList<>();

  /** Number of pairs of zone and machine type that the queues cover. */
  private int coveredPairs = NONE_COVERED;

  private long startMicros = Forecast.NEVER_MICROS;

  ForecastSearch(Forecast forecast, JobSpec spec, int shard) {
    this.forecast = forecast;
    this.spec = spec;
    this.shard = shard;
  }

  /**
   * Returns a machine that could start a task at once or as soon as the machine is up. Called in a
   * hot loop, so it returns null rather than an empty optional if no machine could.
   */
  MachineTimeline immediate(Map<String, Integer> tasksByZone) {
    findQueues();
    List<MachineTimeline> machines = forecast.machines();
    int firstIndex = machines.size();
    for (StartTimeQueue queue : byType) {
      if (spec.allowsZone(queue.zone(), tasksByZone)) {
        firstIndex = Math.min(firstIndex, queue.firstImmediateIndex());
      }
    }
    if (firstIndex == machines.size()) {
      startMicros = Forecast.NEVER_MICROS;
      return null;
    }
    startMicros = machines.get(firstIndex).earliestStartMicros(spec);
    return machines.get(firstIndex);
  }

  /**
   * Returns the machine on which the next task would run first. Called in a hot loop, so it returns
   * null rather than an empty optional if no machine could run the task.
   */
  MachineTimeline earliest(Map<String, Integer> tasksByZone) {
    findQueues();
    StartTimeQueue.Candidate earliest = earliest(byType, tasksByZone, null);
    earliest = earliest(byImage, tasksByZone, earliest);
    startMicros = earliest == null ? Forecast.NEVER_MICROS : earliest.startMicros();
    return earliest == null ? null : earliest.machine();
  }

  /**
   * Returns when a task could start on the machine found last, by the steady clock; {@link
   * Forecast#NEVER_MICROS} if none was found.
   */
  long startMicros() {
    return startMicros;
  }

  private void findQueues() {
    int pairs = forecast.zones().size() * forecast.types().size();
    if (coveredPairs == pairs) {
      return;
    }
    coveredPairs = pairs;
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

  private boolean runsBefore(StartTimeQueue.Candidate candidate, StartTimeQueue.Candidate other) {
    long candidateMicros = candidate.startMicros() + candidate.machine().fetchMicros(spec);
    long otherMicros = other.startMicros() + other.machine().fetchMicros(spec);
    return candidateMicros != otherMicros
        ? candidateMicros < otherMicros
        : candidate.machineIndex() < other.machineIndex();
  }
}
