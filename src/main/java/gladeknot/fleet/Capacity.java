package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.workers.MachineType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Puts tasks into empty machines in thought, the cheapest machines first. */
final class Capacity {
  /** A machine, there or coming. */
  static final class Box {
    final String host;
    final MachineType type;
    final String zone;
    final boolean spot;

    /** How many replicas of services are on it, which stay until their jobs are over. */
    private final int replicas;

    private long cpus;
    private long gpus;
    private long memory;
    private boolean used;

    Box(String host, MachineType type, String zone, boolean spot, int replicas) {
      this.host = host;
      this.replicas = replicas;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.cpus = type.cpus();
      this.gpus = type.gpus();
      this.memory = type.memory();
    }

    boolean used() {
      return used;
    }

    private boolean fits(JobSpec spec) {
      return spec.allowsMachine(type.name(), zone, spot)
          && cpus >= spec.cpus()
          && gpus >= spec.gpus()
          && memory >= spec.memory();
    }

    private boolean take(JobSpec spec) {
      if (!fits(spec)) {
        return false;
      }
      cpus -= spec.cpus();
      gpus -= spec.gpus();
      memory -= spec.memory();
      used = true;
      return true;
    }

    private double pricePerCpu() {
      return type.price(spot) / type.cpus();
    }
  }

  private final List<Box> boxes = new ArrayList<>();
  private final Set<String> zones = new LinkedHashSet<>();

  void add(Box box) {
    boxes.add(box);
    zones.add(box.zone);
  }

  /**
   * Puts the cheapest first, of those the ones that replicas keep in any case, so that the others
   * run empty; only while nothing is in them.
   */
  void sort() {
    boxes.sort(
        Comparator.<Box>comparingInt(b -> b.type.gpus() > 0 ? 1 : 0)
            .thenComparingDouble(Box::pricePerCpu)
            .thenComparing(b -> -b.replicas)
            .thenComparing(b -> b.host));
  }

  /** What decides whether a machine takes a task; many jobs share it. */
  private record Kind(
      long cpus, long gpus, long memory, List<String> types, boolean spot, boolean service) {
    private Kind(JobSpec spec) {
      this(
          spec.cpus(),
          spec.gpus(),
          spec.memory(),
          spec.machineTypes(),
          spec.spotAllowed(),
          spec.shape() == JobSpec.Shape.SERVICE);
    }
  }

  /**
   * The first machine of each zone that may still take a task of a kind. Machines only fill up, so
   * those before it need no second look: one look at each of them for every replica was most of
   * what planning for a large fleet took.
   */
  private final Map<Kind, Map<String, Integer>> firsts = new HashMap<>();

  private long looks;

  /** How many times a machine was looked at for a task. */
  long looks() {
    return looks;
  }

  /** The first machine of a zone that has room for a task; its place, or the number of all. */
  private int first(JobSpec spec, Map<String, Integer> places, String zone) {
    int i = places.getOrDefault(zone, 0);
    while (i < boxes.size() && !(boxes.get(i).zone.equals(zone) && takes(boxes.get(i), spec))) {
      i++;
    }
    places.put(zone, i);
    return i;
  }

  private boolean takes(Box box, JobSpec spec) {
    looks++;
    boolean wasteful =
        spec.shape() == JobSpec.Shape.SERVICE && spec.gpus() == 0 && box.type.gpus() > 0;
    return !wasteful && box.fits(spec);
  }

  /** Puts one task in; false if no machine takes it. */
  boolean put(JobSpec spec, Map<String, Integer> inZone) {
    return put(spec, inZone, firsts.computeIfAbsent(new Kind(spec), k -> new HashMap<>()));
  }

  private boolean put(JobSpec spec, Map<String, Integer> inZone, Map<String, Integer> places) {
    int best = boxes.size();
    for (String zone : zones) {
      boolean allowed = spec.zone() == null || spec.zone().equals(zone);
      if (allowed && spec.allowsZone(zone, inZone)) {
        best = Math.min(best, first(spec, places, zone));
      }
    }
    if (best == boxes.size()) {
      return false;
    }
    boxes.get(best).take(spec);
    inZone.merge(boxes.get(best).zone, 1, Integer::sum);
    return true;
  }

  /**
   * Puts many tasks of one job in, as far as machines take them; returns how many found a place.
   */
  int put(JobSpec spec, int count, Map<String, Integer> inZone) {
    Map<String, Integer> places = firsts.computeIfAbsent(new Kind(spec), k -> new HashMap<>());
    int n = 0;
    while (n < count && put(spec, inZone, places)) {
      n++;
    }
    return n;
  }

  /** Puts tasks in one machine; returns how many it took. */
  int fill(Box box, JobSpec spec, Map<String, Integer> inZone, int count) {
    int n = 0;
    while (n < count && spec.allowsZone(box.zone, inZone) && box.take(spec)) {
      inZone.merge(box.zone, 1, Integer::sum);
      n++;
    }
    return n;
  }

  List<Box> boxes() {
    return boxes;
  }
}
