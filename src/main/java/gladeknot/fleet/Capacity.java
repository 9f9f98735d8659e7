package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Packs expected tasks into machines, cheapest machine first (first fit). Every machine is taken to
 * be empty at the start.
 */
final class Capacity {
  /**
   * The properties of a job that decide whether a machine takes its tasks. Many jobs share them.
   */
  private record Requirements(
      long cpus,
      long gpus,
      long memory,
      List<String> machineTypes,
      boolean spotAllowed,
      boolean service) {
    private static Requirements of(JobSpec spec) {
      return new Requirements(
          spec.cpus(),
          spec.gpus(),
          spec.memory(),
          spec.machineTypes(),
          spec.spotAllowed(),
          spec.shape() == JobSpec.Shape.SERVICE);
    }
  }

  private final List<MachineBin> bins = new ArrayList<>();
  private final Set<String> zones = new LinkedHashSet<>();

  /**
   * For each set of requirements, the index by zone of the first bin that may still take a task.
   * Bins never become emptier, so the bins before that index need not be evaluated again.
   * Evaluating each of them for every replica took most of the planning time of a large fleet.
   */
  private final Map<Requirements, Map<String, Integer>> firstFits = new HashMap<>();

  private long evaluations;

  /** Adds a machine after the machines added so far. */
  void add(MachineBin bin) {
    bins.add(bin);
    zones.add(bin.zone());
  }

  /**
   * Sorts the bins: machines without GPUs first, then by price per CPU, then by the number of
   * replicas that run on them, highest first. Machines with replicas are kept in any case, so
   * filling them first lets the other machines of the same price run empty. Must not be called once
   * a task is packed.
   */
  void sort() {
    bins.sort(
        Comparator.<MachineBin>comparingInt(bin -> bin.hasGpus() ? 1 : 0)
            .thenComparingDouble(MachineBin::pricePerCpu)
            .thenComparing(bin -> -bin.replicas())
            .thenComparing(MachineBin::host));
  }

  /** Returns the bins in the order in which they are filled. */
  List<MachineBin> bins() {
    return bins;
  }

  /** Returns how many times a bin was evaluated for a task. */
  long evaluations() {
    return evaluations;
  }

  /** Packs one task and counts it in its zone. Returns false if no machine takes it. */
  boolean place(JobSpec spec, Map<String, Integer> tasksByZone) {
    return place(spec, tasksByZone, firstFits(spec));
  }

  /** Packs up to {@code count} tasks of one job. Returns the number of tasks that machines took. */
  int place(JobSpec spec, int count, Map<String, Integer> tasksByZone) {
    Map<String, Integer> firstFitByZone = firstFits(spec);
    int placed = 0;
    while (placed < count && place(spec, tasksByZone, firstFitByZone)) {
      placed++;
    }
    return placed;
  }

  /** Packs up to {@code count} tasks into one machine. Returns the number of tasks that it took. */
  int fill(MachineBin bin, JobSpec spec, Map<String, Integer> tasksByZone, int count) {
    int placed = 0;
    while (placed < count && spec.allowsZone(bin.zone(), tasksByZone) && bin.add(spec)) {
      tasksByZone.merge(bin.zone(), 1, Integer::sum);
      placed++;
    }
    return placed;
  }

  private Map<String, Integer> firstFits(JobSpec spec) {
    return firstFits.computeIfAbsent(Requirements.of(spec), requirements -> new HashMap<>());
  }

  private boolean place(
      JobSpec spec, Map<String, Integer> tasksByZone, Map<String, Integer> firstFitByZone) {
    int best = bins.size();
    for (String zone : zones) {
      boolean allowed = spec.zone() == null || spec.zone().equals(zone);
      if (allowed && spec.allowsZone(zone, tasksByZone)) {
        best = Math.min(best, firstFit(spec, firstFitByZone, zone));
      }
    }
    if (best == bins.size()) {
      return false;
    }
    MachineBin bin = bins.get(best);
    bin.add(spec);
    tasksByZone.merge(bin.zone(), 1, Integer::sum);
    return true;
  }

  /**
   * Returns the index of a zone's first bin that takes a task, or the number of all bins if none
   * does.
   */
  private int firstFit(JobSpec spec, Map<String, Integer> firstFitByZone, String zone) {
    int index = firstFitByZone.getOrDefault(zone, 0);
    while (index < bins.size()
        && !(bins.get(index).zone().equals(zone) && takes(bins.get(index), spec))) {
      index++;
    }
    firstFitByZone.put(zone, index);
    return index;
  }

  private boolean takes(MachineBin bin, JobSpec spec) {
    evaluations++;
    return bin.fits(spec);
  }
}
