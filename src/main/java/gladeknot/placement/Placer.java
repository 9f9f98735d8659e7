package gladeknot.placement;

import gladeknot.fleet.MachineType;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobBook;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import gladeknot.teams.Budgets;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerBook;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides starts on the workers of the shards that are ours. */
public final class Placer {
  private static final Logger LOG = LoggerFactory.getLogger(Placer.class);
  private static final long PASS_MICROS = 40_000;

  /** Workers become usable with time as well: a pass comes now and then in any case. */
  private static final long AGAIN_MICROS = 400_000;

  private static final long CLAIM_AFTER_MICROS = 400_000;

  /** Room kept in a record for what else it holds. */
  private static final int RECORD_OVERHEAD = 400;

  private static final int ATTEMPT_BYTES = 40;

  /** Names of machine types and what they are. */
  public interface Types {
    MachineType get(String name);
  }

  /** Tasks of one slice that no machine of ours has room for. */
  public record Need(Job job, int shard, int count) {}

  private record Waiting(Slice slice, Job job) {}

  private final Settings settings;
  private final Membership membership;
  private final JobBook jobs;
  private final SliceBook slices;
  private final WorkerBook workers;
  private final Recorder recorder;
  private final Budgets budgets;
  private final Scheduler scheduler;
  private final Types types;
  private final Map<Integer, List<Need>> needs = new HashMap<>();
  private final Map<String, Budgets.Amount> left = new HashMap<>();
  private long nextMicros;
  private long againMicros;
  private long nowMicros;

  public Placer(
      Settings settings,
      Membership membership,
      JobBook jobs,
      SliceBook slices,
      WorkerBook workers,
      Recorder recorder,
      Budgets budgets,
      Scheduler scheduler,
      Types types) {
    this.settings = settings;
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.workers = workers;
    this.recorder = recorder;
    this.budgets = budgets;
    this.scheduler = scheduler;
    this.types = types;
  }

  /** What found no room in the last pass. */
  public List<Need> needs(int shard) {
    return needs.getOrDefault(shard, List.of());
  }

  public void tick(long now) {
    nowMicros = now;
    if (now < nextMicros || (now < againMicros && !scheduler.takeChanged())) {
      return;
    }
    nextMicros = now + PASS_MICROS;
    againMicros = now + AGAIN_MICROS;
    for (int shard = 0; shard < membership.shards(); shard++) {
      needs.remove(shard);
      if (membership.commitsFor(shard)) {
        pass(shard);
      }
    }
    recorder.flush();
  }

  /** Whether new tasks may go to a worker. */
  public boolean usable(Worker w) {
    return w.report() != null
        && w.stamp() != 0
        && !w.leaving()
        && !w.releasing
        && w.recallAtMicros() == 0
        && nowMicros >= w.restUntilMicros
        && w.errors < 4
        && nowMicros - w.reportMicros() < 2 * settings.workers().reportMicros() + 500_000
        && types.get(w.type()) != null;
  }

  private void pass(int shard) {
    left.clear();
    List<Room> rooms = new ArrayList<>();
    for (Worker w : workers.of(shard)) {
      if (usable(w)) {
        rooms.add(Room.of(w, types.get(w.type())));
      }
    }
    List<Need> unplaced = new ArrayList<>();
    for (Waiting w : waiting(shard)) {
      int rest = place(w, rooms, shard);
      if (rest > 0) {
        unplaced.add(new Need(w.job(), shard, rest));
      }
    }
    if (unplaced.stream().noneMatch(n -> n.job().spec().shape() == JobSpec.Shape.GANG)) {
      claim(shard, rooms);
    }
    needs.put(shard, unplaced);
  }

  /** Priority first, then what is due first, then what came first. */
  private static final Comparator<Waiting> ORDER =
      Comparator.<Waiting>comparingInt(w -> w.job().spec().rank().ordinal())
          .thenComparingLong(w -> dueMicros(w.job()))
          .thenComparingLong(w -> w.job().submittedMicros())
          .thenComparing(w -> w.job().id());

  private static long dueMicros(Job job) {
    long due = job.spec().dueMicros();
    return due == 0 ? Long.MAX_VALUE : job.submittedMicros() + due;
  }

  private List<Waiting> waiting(int shard) {
    List<Waiting> found = new ArrayList<>();
    for (Slice s : slices.of(shard)) {
      Job job = jobs.active(s.job());
      if (job == null || s.todoCount() == 0) {
        s.waitingSinceMicros = 0;
        continue;
      }
      if (s.waitingSinceMicros == 0) {
        s.waitingSinceMicros = nowMicros;
      }
      found.add(new Waiting(s, job));
    }
    found.sort(ORDER);
    return found;
  }

  private Budgets.Amount left(String team, int shard) {
    return left.computeIfAbsent(team, t -> budgets.available(t, shard));
  }

  private int allowedByBudget(JobSpec spec, int shard) {
    Budgets.Amount a = left(spec.team(), shard);
    long n = a.cpus() / spec.cpus();
    if (spec.gpus() > 0) {
      n = Math.min(n, a.gpus() / spec.gpus());
    }
    return (int) Math.max(0, Math.min(n, Integer.MAX_VALUE));
  }

  private void charge(JobSpec spec, int count, int shard) {
    Budgets.Amount a = left(spec.team(), shard);
    left.put(
        spec.team(),
        new Budgets.Amount(a.cpus() - spec.cpus() * count, a.gpus() - spec.gpus() * count));
  }

  /** How many more attempts a slice's record has room for. */
  private int recordRoom(Slice s) {
    int used =
        RECORD_OVERHEAD
            + ATTEMPT_BYTES * s.out.size()
            + Ranges.text(s.assigned).length()
            + Ranges.text(s.done).length();
    return Math.max(0, (settings.stateLimits().valueBytes() - used) / ATTEMPT_BYTES);
  }

  /** Places what it can of a slice; returns how many tasks wait for room. */
  private int place(Waiting w, List<Room> rooms, int shard) {
    Slice s = w.slice();
    JobSpec spec = w.job().spec();
    int todo = s.todoCount();
    if (nowMicros < s.restUntilMicros || recorder.busy(s) && !s.claims.isEmpty()) {
      return 0;
    }
    int allowed = allowedByBudget(spec, shard);
    if (spec.shape() == JobSpec.Shape.GANG) {
      if (!s.out.isEmpty() || allowed < todo) {
        return 0;
      }
      return placeGang(s, spec, rooms, todo, shard) ? 0 : todo;
    }
    int count = Math.min(todo, Math.min(allowed, recordRoom(s)));
    int placed = 0;
    int next = s.nextTodo(0);
    while (placed < count && next >= 0) {
      Room room = best(s, spec, rooms, null);
      if (room == null) {
        break;
      }
      start(s, next, s.nextNumber(), room);
      placed++;
      next = s.nextTodo(next + 1);
    }
    charge(spec, placed, shard);
    return count - placed;
  }

  private boolean placeGang(Slice s, JobSpec spec, List<Room> rooms, int todo, int shard) {
    List<String> zones = new ArrayList<>();
    if (spec.together()) {
      rooms.stream().map(r -> r.worker.zone()).distinct().forEach(zones::add);
    } else {
      zones.add(null);
    }
    for (String zone : zones) {
      List<Room> chosen = new ArrayList<>();
      Map<String, Integer> perZone = zoneCounts(s);
      while (chosen.size() < todo) {
        Room room = best(s, spec, rooms, zone, perZone);
        if (room == null) {
          break;
        }
        room.take(spec.cpus(), spec.gpus(), spec.memory());
        perZone.merge(room.worker.zone(), 1, Integer::sum);
        chosen.add(room);
      }
      chosen.forEach(r -> r.take(-spec.cpus(), -spec.gpus(), -spec.memory()));
      if (chosen.size() == todo) {
        long number = s.nextNumber();
        int task = s.nextTodo(0);
        for (Room room : chosen) {
          start(s, task, number, room);
          task = s.nextTodo(task + 1);
        }
        charge(spec, todo, shard);
        return true;
      }
    }
    return false;
  }

  private static Map<String, Integer> zoneCounts(Slice s, WorkerBook workers) {
    Map<String, Integer> counts = new HashMap<>();
    for (Attempt a : s.out.values()) {
      Worker w = workers.get(a.host());
      if (!a.closed && w != null) {
        counts.merge(w.zone(), 1, Integer::sum);
      }
    }
    return counts;
  }

  private Map<String, Integer> zoneCounts(Slice s) {
    return zoneCounts(s, workers);
  }

  private Room best(Slice s, JobSpec spec, List<Room> rooms, String zone) {
    return best(s, spec, rooms, zone, zoneCounts(s));
  }

  /** The room that suits a task best; null if none does. */
  private Room best(
      Slice s, JobSpec spec, List<Room> rooms, String zone, Map<String, Integer> perZone) {
    Room best = null;
    double bestScore = 0;
    for (Room room : rooms) {
      String in = room.worker.zone();
      if (room.fits(spec) == 0
          || !room.allows(spec)
          || (zone != null && !zone.equals(in))
          || (spec.scatter() && perZone.getOrDefault(in, 0) >= spec.perZone())) {
        continue;
      }
      if (spec.together() && zone == null && !perZone.isEmpty() && !perZone.containsKey(in)) {
        continue;
      }
      if (spec.gpus() == 0 && room.type.gpus() > 0 && spec.shape() == JobSpec.Shape.SERVICE) {
        continue;
      }
      double score = score(spec, room, perZone.getOrDefault(in, 0));
      if (best == null || score < bestScore) {
        best = room;
        bestScore = score;
      }
    }
    return best;
  }

  /** Lower is better: what the fetch costs, then rare GPUs, then the fullest machine. */
  private static double score(JobSpec spec, Room room, int inZone) {
    double fetch =
        room.worker.hasImage(spec.image()) ? 0 : spec.imageGb() / room.type.fetchGbPerS();
    double gpus = spec.gpus() == 0 && room.type.gpus() > 0 ? 30 : 0;
    double kind = spec.spot() && !room.worker.spot() ? 2 : 0;
    double spread = spec.scatter() ? inZone : 0;
    double empty = (double) room.cpus / room.type.cpus();
    return fetch + gpus + kind + spread + empty;
  }

  private void start(Slice s, int task, long number, Room room) {
    room.take(s.cpus(), s.gpus(), s.memory());
    slices.put(new Attempt(s, task, number, room.worker.host(), nowMicros));
    recorder.changed(s);
  }

  /** Takes other shards' tasks that wait, where own room is left, in batches. */
  private void claim(int shard, List<Room> rooms) {
    boolean any = rooms.stream().anyMatch(r -> r.cpus > 0);
    if (!any) {
      return;
    }
    List<Waiting> others = new ArrayList<>();
    for (int other = 0; other < membership.shards(); other++) {
      if (other != shard) {
        for (Slice s : slices.of(other)) {
          Job job = jobs.active(s.job());
          if (job == null || s.todoCount() == 0) {
            s.waitingSinceMicros = 0;
            continue;
          }
          if (s.waitingSinceMicros == 0) {
            s.waitingSinceMicros = nowMicros;
          } else if (nowMicros - s.waitingSinceMicros < CLAIM_AFTER_MICROS) {
            continue;
          } else if (!recorder.busy(s) && !membership.owned().contains(other)) {
            others.add(new Waiting(s, job));
          }
        }
      }
    }
    others.sort(ORDER);
    for (Waiting w : others) {
      claim(w, shard, rooms);
    }
  }

  private void claim(Waiting w, int shard, List<Room> rooms) {
    Slice from = w.slice();
    JobSpec spec = w.job().spec();
    if (spec.whole() && !from.out.isEmpty()) {
      return;
    }
    int todo = from.todoCount();
    int allowed = allowedByBudget(spec, shard);
    Slice own = slices.get(shard, spec.id());
    if (own == null) {
      own = slices.create(shard, w.job());
    }
    if (recorder.busy(own) || !own.claims.isEmpty() || nowMicros < own.restUntilMicros) {
      return;
    }
    int count = Math.min(todo, Math.min(allowed, recordRoom(own)));
    int fit = 0;
    for (Room room : rooms) {
      if (room.allows(spec)) {
        fit += room.fits(spec);
      }
    }
    count = spec.whole() ? (fit > 0 && allowed >= todo ? todo : 0) : Math.min(count, fit);
    if (count <= 0) {
      slices.discardIfEmpty(own);
      return;
    }
    BitSet tasks = new BitSet();
    int task = from.nextTodo(0);
    for (int i = 0; i < count && task >= 0; i++) {
      tasks.set(task);
      task = from.nextTodo(task + 1);
    }
    own.assigned.or(tasks);
    int rest = place(new Waiting(own, w.job()), rooms, shard);
    if (own.live() == 0 || (spec.shape() == JobSpec.Shape.GANG && rest > 0)) {
      own.assigned.andNot(tasks);
      slices.discardIfEmpty(own);
      return;
    }
    if (!spec.whole()) {
      // Only what starts at once is taken.
      for (int t = tasks.nextSetBit(0); t >= 0; t = tasks.nextSetBit(t + 1)) {
        if (!own.out.containsKey(t)) {
          tasks.clear(t);
          own.assigned.clear(t);
        }
      }
      if (tasks.isEmpty()) {
        return;
      }
    }
    own.claims.put(from, tasks);
    recorder.changed(own);
    LOG.info("claim {} tasks {} from shard {} for shard {}", spec.id(), tasks, from.shard(), shard);
  }
}
