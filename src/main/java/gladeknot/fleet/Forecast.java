package gladeknot.fleet;

import gladeknot.jobs.JobSpec;
import gladeknot.workers.MachineType;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

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

    /** As the machine has them: a forecast is over before they change. */
    final Collection<String> images;

    private final List<long[]> events = new ArrayList<>();

    /** A machine that is empty from a time on. */
    Slot(
        MachineType type,
        String zone,
        boolean spot,
        int shard,
        long fromMicros,
        Collection<String> images) {
      this.type = type;
      this.zone = zone;
      this.spot = spot;
      this.shard = shard;
      this.fromMicros = fromMicros;
      this.images = images;
      add(fromMicros, type.cpus(), type.gpus(), type.memory());
    }

    /** Grows with each change, so that a machine is looked at again only after one. */
    private int version;

    private void add(long at, long cpus, long gpus, long memory) {
      version++;
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
      if (!spec.allowsMachine(type.name(), zone, spot) || type.fits(spec) == 0) {
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

    /** How many of a job's tasks have room by a time, on what is free then. */
    long roomBy(JobSpec spec, long byMicros) {
      if (!spec.allowsMachine(type.name(), zone, spot)) {
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
      JobSpec.Priority rank, Slot slot, long from, long to, long cpus, long gpus, long memory) {}

  private final List<Slot> slots = new ArrayList<>();
  private final Set<String> zones = new LinkedHashSet<>();
  private final Set<String> types = new LinkedHashSet<>();
  private final List<Running> running = new ArrayList<>();

  /** The lowest rank admitted so far: asked for each waiting job, and there are many of a rank. */
  private int admitted = -1;

  /** Notes a task that runs; it counts once its rank has been admitted. */
  void running(
      JobSpec.Priority rank, Slot slot, long from, long to, long cpus, long gpus, long memory) {
    running.add(new Running(rank, slot, from, to, cpus, gpus, memory));
  }

  /** From here on, running tasks of a rank and of those above it take their room. */
  void admit(JobSpec.Priority rank) {
    if (rank.ordinal() <= admitted) {
      return;
    }
    admitted = rank.ordinal();
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
    zones.add(slot.zone);
    types.add(slot.type.name());
    lines.values().forEach(line -> line.add(slot, slots.size() - 1));
  }

  /**
   * What decides on which machines tasks may go and when: many jobs share it. A line is for one
   * zone and, for gangs, for one shard's machines (-1: for all); either for the machines of one
   * type or for those that have an image.
   */
  private record Kind(
      long cpus,
      long gpus,
      long memory,
      List<String> types,
      boolean spot,
      String zone,
      int shard,
      String type,
      String image) {}

  /**
   * The machines in the order in which they have room for a task of a kind. What is put in only
   * makes a machine later, so a machine's time is worked out again only when it comes to the front:
   * a look at every machine for every waiting task took most of a large fleet's forecasts, and so
   * did a line of all machines for every image.
   */
  private final class Line {
    private record Place(long at, int order, Slot slot, int version) {}

    private final JobSpec spec;
    private final Kind kind;

    /** Up to here no machine has room for a task at once: none gets any while tasks are put in. */
    private int full;

    private final PriorityQueue<Place> places =
        new PriorityQueue<>(
            (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Integer.compare(a.order, b.order));

    private Line(JobSpec spec, Kind kind) {
      this.spec = spec;
      this.kind = kind;
      for (int i = 0; i < slots.size(); i++) {
        add(slots.get(i), i);
      }
    }

    private boolean has(Slot slot) {
      return slot.zone.equals(kind.zone())
          && (kind.shard() < 0 || slot.shard == kind.shard())
          && (kind.type() == null || slot.type.name().equals(kind.type()))
          && (kind.image() == null || slot.images.contains(kind.image()));
    }

    private void add(Slot slot, int order) {
      if (has(slot)) {
        put(slot, order);
      }
    }

    private void put(Slot slot, int order) {
      looks++;
      long at = slot.earliest(spec);
      if (at < NEVER) {
        places.add(new Place(at, order, slot, slot.version));
      }
    }

    /** The first machine with room at once, or once it is up; the number of all if none has. */
    private int fresh() {
      while (full < slots.size()) {
        Slot slot = slots.get(full);
        if (has(slot)) {
          looks++;
          if (slot.earliest(spec) <= slot.fromMicros) {
            break;
          }
        }
        full++;
      }
      return full;
    }

    private Place best() {
      while (!places.isEmpty()) {
        Place first = places.peek();
        if (first.version() == first.slot().version) {
          return first;
        }
        places.poll();
        put(first.slot(), first.order());
      }
      return null;
    }
  }

  private final Map<Kind, Line> lines = new HashMap<>();
  private long looks;

  /** How many times a machine was looked at for a task. */
  long looks() {
    return looks;
  }

  /** Looks for places for the tasks of one job; on one shard's machines alone, or on all (-1). */
  Search search(JobSpec spec, int shard) {
    return new Search(spec, shard);
  }

  /** One job's search: what is alike for all its tasks is worked out once. */
  final class Search {
    private final JobSpec spec;
    private final int shard;
    private final List<Line> byType = new ArrayList<>();
    private final List<Line> byImage = new ArrayList<>();
    private int seen = -1;
    private long startsMicros = NEVER;

    private Search(JobSpec spec, int shard) {
      this.spec = spec;
      this.shard = shard;
    }

    private Line line(String zone, String type, String image) {
      Kind kind =
          new Kind(
              spec.cpus(),
              spec.gpus(),
              spec.memory(),
              spec.machineTypes(),
              spec.spotAllowed(),
              zone,
              shard,
              type,
              image);
      return lines.computeIfAbsent(kind, k -> new Line(spec, k));
    }

    private void findLines() {
      if (seen == zones.size() * types.size()) {
        return;
      }
      seen = zones.size() * types.size();
      byType.clear();
      byImage.clear();
      for (String zone : zones) {
        if (spec.zone() == null || spec.zone().equals(zone)) {
          for (String type : types) {
            if (spec.machineTypes() == null || spec.machineTypes().contains(type)) {
              byType.add(line(zone, type, null));
            }
          }
          byImage.add(line(zone, null, spec.image()));
        }
      }
    }

    /** A machine that has room already, or will when it is up; null if none has. */
    Slot fresh(Map<String, Integer> inZone) {
      findLines();
      int first = slots.size();
      for (Line line : byType) {
        if (spec.allowsZone(line.kind.zone(), inZone)) {
          first = Math.min(first, line.fresh());
        }
      }
      startsMicros = first == slots.size() ? NEVER : slots.get(first).earliest(spec);
      return first == slots.size() ? null : slots.get(first);
    }

    /** Where the job's next task would run first; null if nowhere. */
    Slot best(Map<String, Integer> inZone) {
      findLines();
      Line.Place best = best(byType, inZone, null);
      best = best(byImage, inZone, best);
      startsMicros = best == null ? NEVER : best.at();
      return best == null ? null : best.slot();
    }

    /** When a task could start on the machine found last. */
    long startsMicros() {
      return startsMicros;
    }

    private Line.Place best(List<Line> from, Map<String, Integer> inZone, Line.Place sofar) {
      Line.Place best = sofar;
      for (Line line : from) {
        Line.Place first = spec.allowsZone(line.kind.zone(), inZone) ? line.best() : null;
        if (first != null && (best == null || before(first, best))) {
          best = first;
        }
      }
      return best;
    }

    private boolean before(Line.Place a, Line.Place b) {
      long first = a.at() + a.slot().fetchMicros(spec);
      long second = b.at() + b.slot().fetchMicros(spec);
      return first != second ? first < second : a.order() < b.order();
    }
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
    return put(slot, spec, slot.earliest(spec), runMicros, 1);
  }

  /** Puts tasks on a machine that start together; returns when they would be running. */
  long put(Slot slot, JobSpec spec, long at, long runMicros, int count) {
    long running = at + slot.fetchMicros(spec);
    long end = runMicros >= NEVER ? NEVER : running + runMicros;
    slot.take(at, end, spec.cpus() * count, spec.gpus() * count, spec.memory() * count);
    return running;
  }
}
