package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/** Puts tasks into empty machines in thought, the cheapest machines first. */
final class Capacity {
  /** A machine, there or coming. */
  static final class Box {
    final String host;
    final MachineType type;
    final String zone;
    final boolean spot;
    private long cpus;
    private long gpus;
    private long memory;
    private boolean used;

    Box(String host, MachineType type, String zone, boolean spot) {
      this.host = host;
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

    private boolean take(JobSpec spec) {
      if (!spec.allows(type.name(), zone, spot)
          || cpus < spec.cpus()
          || gpus < spec.gpus()
          || memory < spec.memory()) {
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

  void add(Box box) {
    boxes.add(box);
  }

  void sort() {
    boxes.sort(
        Comparator.<Box>comparingInt(b -> b.type.gpus() > 0 ? 1 : 0)
            .thenComparingDouble(Box::pricePerCpu)
            .thenComparing(b -> b.host));
  }

  /** Puts one task in; false if no machine takes it. */
  boolean put(JobSpec spec, Map<String, Integer> inZone) {
    for (Box box : boxes) {
      if (spec.shape() == JobSpec.Shape.SERVICE && spec.gpus() == 0 && box.type.gpus() > 0) {
        continue;
      }
      if (spec.zoneOpen(box.zone, inZone) && box.take(spec)) {
        inZone.merge(box.zone, 1, Integer::sum);
        return true;
      }
    }
    return false;
  }

  /**
   * Puts many tasks of one job in, as far as machines take them; returns how many found a place.
   * Only for jobs that may be in any zone: each machine is looked at once.
   */
  int put(JobSpec spec, int count) {
    int rest = count;
    for (Box box : boxes) {
      if (spec.shape() == JobSpec.Shape.SERVICE && spec.gpus() == 0 && box.type.gpus() > 0) {
        continue;
      }
      while (rest > 0 && box.take(spec)) {
        rest--;
      }
      if (rest == 0) {
        break;
      }
    }
    return count - rest;
  }

  /** Puts tasks in one machine; returns how many it took. */
  int fill(Box box, JobSpec spec, Map<String, Integer> inZone, int count) {
    int n = 0;
    while (n < count && spec.zoneOpen(box.zone, inZone) && box.take(spec)) {
      inZone.merge(box.zone, 1, Integer::sum);
      n++;
    }
    return n;
  }

  List<Box> boxes() {
    return boxes;
  }
}
