package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * When waiting tasks will start on the machines there are: each machine's room over time, as
 * running tasks end and machines come up. Tasks are put in one after the other.
 */
final class Forecast {
  static final long NEVER = Long.MAX_VALUE / 4;

  /** A machine's room over time. */
  static final class Slot {
    final MachineType type;
    final String zone;
    final boolean spot;
    final int shard;
    private final long fromMicros;
    final List<String> images;
    private final List<long[]> events = new ArrayList<>();

    /** A machine that is empty from a time on. */
    Slot(
        MachineType type,
        String zone,
        boolean spot,
        int shard,
        long fromMicros,
        List<String> images) {
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.shard = shard;
      this.fromMicros = fromMicros;
      this.images = images;
      add(fromMicros, type.cpus(), type.gpus(), type.memory());
    }

    private void add(long at, long cpus, long gpus, long memory) {
      int i = events.size();
      while (i > 0 && events.get(i - 1)[0] > at) {
        i--;
      }
      events.add(i, new long[] {at, cpus, gpus, memory});
    }

    /** Takes room from a time to another. */
    void take(long from, long to, long cpus, long gpus, long memory) {
      add(from, -cpus, -gpus, -memory);
      if (to < NEVER) {
        add(to, cpus, gpus, memory);
      }
    }

    /** When a task could start; NEVER if it can't. */
    long earliest(JobSpec spec) {
      if (!spec.allows(type.name(), zone, spot) || type.fits(spec) == 0) {
        return NEVER;
      }
      long c = 0;
      long g = 0;
      long m = 0;
      for (int i = 0; i < events.size(); i++) {
        long[] e = events.get(i);
        c += e[1];
        g += e[2];
        m += e[3];
        boolean last = i + 1 == events.size() || events.get(i + 1)[0] > e[0];
        if (last && c >= spec.cpus() && g >= spec.gpus() && m >= spec.memory()) {
          return e[0];
        }
      }
      return NEVER;
    }

    private long roomBy(JobSpec spec, long byMicros) {
      if (!spec.allows(type.name(), zone, spot)) {
        return 0;
      }
      long c = 0;
      long g = 0;
      long m = 0;
      for (long[] e : events) {
        if (e[0] <= byMicros) {
          c += e[1];
          g += e[2];
          m += e[3];
        }
      }
      long n = Math.min(c / spec.cpus(), m / spec.memory());
      return Math.max(0, spec.gpus() > 0 ? Math.min(n, g / spec.gpus()) : n);
    }

    long fetchMicros(JobSpec spec) {
      return images.contains(spec.image()) ? 0 : (long) (spec.imageGb() / type.fetchGbPerS() * 1e6);
    }
  }

  private record Running(
      JobSpec.Rank rank, Slot slot, long from, long to, long cpus, long gpus, long memory) {}

  private final List<Slot> slots = new ArrayList<>();
  private final List<Running> running = new ArrayList<>();

  /** Notes a task that runs; it counts once its rank has been admitted. */
  void running(
      JobSpec.Rank rank, Slot slot, long from, long to, long cpus, long gpus, long memory) {
    running.add(new Running(rank, slot, from, to, cpus, gpus, memory));
  }

  /** From here on, running tasks of a rank and of those above it take their room. */
  void admit(JobSpec.Rank rank) {
    running.removeIf(
        r -> {
          if (r.rank().ordinal() > rank.ordinal()) {
            return false;
          }
          r.slot().take(r.from(), r.to(), r.cpus(), r.gpus(), r.memory());
          return true;
        });
  }

  void add(Slot slot) {
    slots.add(slot);
    lines.values().forEach(line -> line.add(slot));
  }

  /** A machine that has room already, or will when it is up; null if none has. */
  Slot fresh(JobSpec spec, Map<String, Integer> inZone) {
    for (Slot slot : slots) {
      if (spec.zoneOpen(slot.zone, inZone) && slot.earliest(spec) <= slot.fromMicros) {
        return slot;
      }
    }
    return null;
  }

  /** Where a task would finish first; null if nowhere. */
  Slot best(JobSpec spec, Map<String, Integer> inZone) {
    return best(spec, inZone, -1);
  }

  /** What decides on which machines tasks may go and when: many jobs share it. */
  private record Kind(
      long cpus,
      long gpus,
      long memory,
      String image,
      List<String> types,
      String zone,
      boolean spot) {}

  /**
   * The machines in the order in which they could run a task of a kind. What is put in only makes a
   * machine later, so a machine's time is worked out again only when it comes to the front.
   */
  private static final class Line {
    private record Place(long at, int order, Slot slot) {}

    private final JobSpec spec;
    private final PriorityQueue<Place> places =
        new PriorityQueue<>(Comparator.comparingLong(Place::at).thenComparingInt(Place::order));

    private Line(JobSpec spec) {
      this.spec = spec;
    }

    private void add(Slot slot) {
      long at = slot.earliest(spec);
      if (at < NEVER) {
        places.add(new Place(at + slot.fetchMicros(spec), places.size(), slot));
      }
    }

    private Slot best() {
      while (!places.isEmpty()) {
        Place first = places.peek();
        Slot slot = first.slot();
        long at = slot.earliest(spec);
        if (at < NEVER && at + slot.fetchMicros(spec) <= first.at()) {
          return slot;
        }
        places.poll();
        if (at < NEVER) {
          places.add(new Place(at + slot.fetchMicros(spec), first.order(), slot));
        }
      }
      return null;
    }
  }

  private final Map<Kind, Line> lines = new HashMap<>();

  /** Where a task of a job that may go to any zone would run first; null if nowhere. */
  Slot first(JobSpec spec) {
    Kind kind =
        new Kind(
            spec.cpus(),
            spec.gpus(),
            spec.memory(),
            spec.image(),
            spec.types(),
            spec.zone(),
            spec.spot());
    Line line = lines.get(kind);
    if (line == null) {
      line = new Line(spec);
      slots.forEach(line::add);
      lines.put(kind, line);
    }
    return line.best();
  }

  /** The same on one shard's machines alone, as a gang needs them; -1: on all. */
  Slot best(JobSpec spec, Map<String, Integer> inZone, int shard) {
    Slot best = null;
    long bestAt = NEVER;
    for (Slot slot : slots) {
      if (!spec.zoneOpen(slot.zone, inZone) || (shard >= 0 && slot.shard != shard)) {
        continue;
      }
      long at = slot.earliest(spec);
      if (at < NEVER && at + slot.fetchMicros(spec) < bestAt) {
        best = slot;
        bestAt = at + slot.fetchMicros(spec);
      }
    }
    return best;
  }

  /** The zone in which a shard has most room for a job's tasks by a time. */
  String roomiest(JobSpec spec, int shard, long byMicros, List<String> zones) {
    String best = null;
    long most = -1;
    for (String zone : zones) {
      long room = 0;
      for (Slot slot : slots) {
        if (slot.shard == shard && slot.zone.equals(zone)) {
          room += slot.roomBy(spec, byMicros);
        }
      }
      if (room > most) {
        best = zone;
        most = room;
      }
    }
    return best;
  }

  /** Puts a task on a machine and returns when it would be running. */
  long put(Slot slot, JobSpec spec, long runMicros) {
    long at = slot.earliest(spec);
    long running = at + slot.fetchMicros(spec);
    long end = runMicros >= NEVER ? NEVER : running + runMicros;
    slot.take(at, end, spec.cpus(), spec.gpus(), spec.memory());
    return running;
  }
}
