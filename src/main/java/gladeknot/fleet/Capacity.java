package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Packs expected tasks into the machines as if they were empty (first fit), the cheapest first. */
final class Capacity {
  /** What decides whether a machine takes a task; many jobs share it. */
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
   * The first bin of each zone that may still take a task of certain requirements. Bins only fill
   * up, so those before it need no second evaluation: evaluating each of them for every replica was
   * most of what planning for a large fleet took.
   */
  private final Map<Requirements, Map<String, Integer>> firstFits = new HashMap<>();

  private long evaluations;

  /** Adds a machine after those that there are. */
  void add(MachineBin bin) {
    bins.add(bin);
    zones.add(bin.zone());
  }

  /**
   * Puts the cheapest bins first, of those the ones that replicas keep in any case, so that the
   * others run empty. Only while nothing is packed.
   */
  void sort() {
    bins.sort(
        Comparator.<MachineBin>comparingInt(bin -> bin.hasGpus() ? 1 : 0)
            .thenComparingDouble(MachineBin::pricePerCpu)
            .thenComparing(bin -> -bin.replicas())
            .thenComparing(MachineBin::host));
  }

  /** The bins in the order in which they are filled. */
  List<MachineBin> bins() {
    return bins;
  }

  /** How many times a bin was evaluated for a task. */
  long evaluations() {
    return evaluations;
  }

  /** Packs one task and counts it in its zone; false if no machine takes it. */
  boolean place(JobSpec spec, Map<String, Integer> tasksByZone) {
    return place(spec, tasksByZone, firstFits(spec));
  }

  /** Packs tasks of one job, as many as machines take; returns how many that were. */
  int place(JobSpec spec, int count, Map<String, Integer> tasksByZone) {
    Map<String, Integer> firstFitByZone = firstFits(spec);
    int placed = 0;
    while (placed < count && place(spec, tasksByZone, firstFitByZone)) {
      placed++;
    }
    return placed;
  }

  /** Packs tasks into one machine; returns how many it took. */
  int fill(MachineBin bin, JobSpec spec, Map<String, Integer> tasksByZone, int count) {
    int placed = 0;
    while (placed < count && spec.allowsZone(bin.zone(), tasksByZone) && bin.add(spec)) {
      tasksByZone.merge(bin.zone(), 1, Integer::sum);
      placed++;
    }
    return placed;
  }

  private Map<String, Integer> firstFits(JobSpec spec) {
    return firstFits.computeIfAbsent(Requirements.of(spec), absent -> new HashMap<>());
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

  /** The place of a zone's first bin that takes a task; the number of all bins if none does. */
  private int firstFit(JobSpec spec, Map<String, Integer> firstFitByZone, String zone) {
    int i = firstFitByZone.getOrDefault(zone, 0);
    while (i < bins.size() && !(bins.get(i).zone().equals(zone) && takes(bins.get(i), spec))) {
      i++;
    }
    firstFitByZone.put(zone, i);
    return i;
  }

  private boolean takes(MachineBin bin, JobSpec spec) {
    evaluations++;
    boolean idleGpus = spec.shape() == JobSpec.Shape.SERVICE && spec.gpus() == 0 && bin.hasGpus();
    return !idleGpus && bin.fits(spec);
  }
}
