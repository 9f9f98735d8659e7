package gladeknot.placement;

import gladeknot.connectivity.OrderKind;
import gladeknot.fleet.MachineType;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.membership.Membership;
import gladeknot.policy.Policy;
import gladeknot.settings.Settings;
import gladeknot.teams.Budgets;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decides starts on the workers of the shards that are ours. */
public final class Placer {
  private static final Logger LOG = LoggerFactory.getLogger(Placer.class);
  private static final long PASS_MICROS = 60_000;

  /**
   * For so many machines a shard passes may follow one another that closely, for more as much less:
   * a pass looks at all of them. What it decides waits for a commit, which takes longer.
   */
  private static final double USUAL_SHARE = 25;

  private static final double MOST_SLOWED = 8;

  /** Workers become usable with time as well: a pass comes now and then in any case. */
  private static final long AGAIN_MICROS = 400_000;

  private static final long FOREIGN_STEP_MICROS = 1_500_000;

  /** From a decision to a running task, where nothing is known yet. */
  private static final long START_MICROS = 4_000_000;

  private static final long GUARANTEE_MARGIN_MICROS = 1_000_000;

  /** How many seconds of fetching an image a task would rather wait than keep such a machine. */
  private static final double UNNEEDED = 8;

  /** What a second until a machine's next report weighs for work that is not in haste. */
  private static final double PATIENT = 0.2;

  /** How long one shard after the other holds on to a budget that is too small for its gang. */
  private static final long TURN_MICROS = 10_000_000;

  /** Names of machine types and what they are. */
  public interface Types {
    MachineType get(String name);
  }

  /**
   * Tasks of one slice that wait for room; starved are those that are late for all their deadlines
   * and that newer work keeps going before.
   */
  public record Need(
      Job job, int shard, int count, boolean ours, boolean starved, Map<String, Integer> inZone) {}

  /** All that waits for room, in the order in which it would get it. */
  public record Queue(List<Need> waiting) {}

  private final Settings settings;
  private final Policy policy;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final WorkerRegistry workers;
  private final RecordWriter recordWriter;
  private final Budgets budgets;
  private final Scheduler scheduler;
  private final Types types;
  private final Preemption preemption;
  private final Urgency urgency;
  private final DeadlineCapacity deadlineCapacity;
  private final Supplier<List<String>> zonesOffered;

  /** Kept, since it is asked for each machine that a replica is weighed on. */
  private final Set<String> controllerZones;

  private final Map<String, Budgets.Amount> left = new HashMap<>();

  /** What decides whether a machine takes a task, for jobs that may be in any zones. */
  record Kind(
      long cpus,
      long gpus,
      long memory,
      List<String> types,
      String zone,
      boolean spot,
      boolean service) {}

  /**
   * Kinds of tasks that no machine has room for, and that none will have once what stops has
   * stopped: room only shrinks while a pass goes on, so one look serves all slices that wait.
   */
  private final Set<Kind> full = new HashSet<>();

  private final Set<Kind> hopeless = new HashSet<>();
  private final long guaranteeMicros;
  private long passes;
  private long nextMicros;
  private long againMicros;
  private long starveMicros;
  private long nowMicros;
  private long wallMicros;

  /** A matcher of tasks and machines that has decided nothing yet. */
  public Placer(
      Settings settings,
      Policy policy,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      WorkerRegistry workers,
      RecordWriter recordWriter,
      Budgets budgets,
      Scheduler scheduler,
      Types types,
      Supplier<List<String>> zonesOffered) {
    this.settings = settings;
    this.policy = policy;
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.workers = workers;
    this.recordWriter = recordWriter;
    this.budgets = budgets;
    this.scheduler = scheduler;
    this.types = types;
    this.zonesOffered = zonesOffered;
    this.controllerZones = settings.controllerZones();
    long within = Long.MAX_VALUE / 4;
    for (Settings.Objective o : settings.objectives()) {
      if (o.kind().equals("guarantee")) {
        within = o.withinMicros();
      }
    }
    this.guaranteeMicros = within;
    this.deadlineCapacity = new DeadlineCapacity(jobs, workers, types);
    this.urgency = new Urgency(settings, policy, jobs, slices, scheduler.estimates());
    this.preemption = new Preemption(settings, policy, jobs, slices, urgency::rank);
  }

  /** What waits in all shards. */
  public Queue queue() {
    starveMicros = policy.micros(Policy.Name.STARVE_AFTER);
    List<WaitingSlice> all = new ArrayList<>();
    for (int shard = 0; shard < membership.shards(); shard++) {
      boolean ours = membership.permits(OrderKind.DECIDE, shard);
      for (Slice s : slices.of(shard)) {
        Job job = jobs.active(s.job());
        if (job != null && s.todoCount() > 0 && nowMicros >= s.restUntilMicros) {
          all.add(waiting(s, job, !ours));
        }
      }
    }
    all.sort(QUEUE_ORDER);
    List<Need> queue = new ArrayList<>();
    Map<String, Budgets.Amount> open = new HashMap<>();
    for (WaitingSlice w : all) {
      JobSpec spec = w.job().spec();
      int count = w.slice().todoCount();
      // What its team's limit keeps from running anywhere needs no machine.
      Budgets.Amount a = open.computeIfAbsent(spec.team(), budgets::openAnywhere);
      long n = Math.min(count, a.cpus() / spec.cpus());
      if (spec.gpus() > 0) {
        n = Math.min(n, a.gpus() / spec.gpus());
      }
      if (w.starved() && spec.whole()) {
        // Budget will be held for it: it must not lack a machine then.
        n = count;
      }
      if (spec.shape() == JobSpec.Shape.SERVICE && spec.scatter()) {
        n = Math.min(n, zonesLeft(w.slice(), spec));
      }
      if (n > 0) {
        open.put(
            spec.team(),
            new Budgets.Amount(a.cpus() - spec.cpus() * n, a.gpus() - spec.gpus() * n));
        queue.add(
            new Need(
                w.job(),
                w.slice().shard(),
                (int) n,
                !w.foreign(),
                urgency.late(w.job(), wallMicros)
                    && w.slice().waitingSinceMicros != 0
                    && nowMicros - w.slice().waitingSinceMicros
                        > policy.micros(Policy.Name.PATIENCE),
                zoneCounts(spec)));
      }
    }
    return new Queue(queue);
  }

  /** How many more tasks of a spread job have a zone to go to. */
  private long zonesLeft(Slice s, JobSpec spec) {
    Map<String, Integer> counts = slices.zoneCounts(s.job());
    long left = 0;
    for (String zone : zonesOffered.get()) {
      left += Math.max(0, spec.perZone() - counts.getOrDefault(zone, 0));
    }
    return left;
  }

  public Estimates estimates() {
    return scheduler.estimates();
  }

  /** By when a job has to end for its pipeline to be in time, by the time of day. */
  public long latestEndMicros(Job job) {
    return urgency.latestEndMicros(job);
  }

  /** When an attempt is likely to end. */
  public long endsMicros(Attempt a) {
    Job job = jobs.active(a.slice().job());
    if (job == null || a.killed()) {
      return nowMicros + 1_000_000;
    }
    long run = estimates().runMicros(job.spec());
    if (run >= Long.MAX_VALUE / 4) {
      return run;
    }
    long from = a.runningSinceMicros != 0 ? a.runningSinceMicros : a.decidedMicros() + START_MICROS;
    return Math.max(nowMicros + run / 10, from + run);
  }

  /** How many replicas of services that go on are on a machine, or on their way there. */
  public int replicas(Worker worker) {
    int count = 0;
    for (Attempt a : worker.attempts().values()) {
      Job job = a.closed() ? null : jobs.active(a.slice().job());
      count += job != null && job.spec().shape() == JobSpec.Shape.SERVICE ? 1 : 0;
    }
    return count;
  }

  /** Services that go on, in the order in which they came. */
  public List<Job> services() {
    return jobs.active().stream()
        .filter(j -> j.spec().shape() == JobSpec.Shape.SERVICE)
        .sorted(Comparator.comparingLong(Job::submittedMicros))
        .toList();
  }

  /** Makes a pass if it is time and something has changed. */
  public void tick(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    if (now < nextMicros || (now < againMicros && !scheduler.takeChanged())) {
      return;
    }
    passNow();
  }

  /** How many times starts have been decided. */
  public long passes() {
    return passes;
  }

  /** Decides starts if something has changed and the last time is not too short ago. */
  public void passSoon() {
    if (nowMicros >= nextMicros && scheduler.takeChanged()) {
      passNow();
    }
  }

  private void passNow() {
    passes++;
    double slower = workers.all().size() / (USUAL_SHARE * membership.shards());
    nextMicros = nowMicros + (long) (PASS_MICROS * Math.max(1, Math.min(MOST_SLOWED, slower)));
    againMicros = nowMicros + AGAIN_MICROS;
    for (int shard = 0; shard < membership.shards(); shard++) {
      if (membership.permits(OrderKind.DECIDE, shard)) {
        pass(shard);
      }
    }
    recordWriter.flush();
  }

  /** Whether new tasks may go to a worker. */
  public boolean usable(Worker w) {
    return w.report() != null
        && w.entered()
        && !w.leaving()
        && !w.releasing
        && w.recallAtMicros() == 0
        && nowMicros >= w.restUntilMicros
        && w.errors < 4
        && !w.deaf()
        && nowMicros - w.reportMicros() < 2 * settings.workers().reportMicros() + 500_000
        && types.get(w.type()) != null;
  }

  private void pass(int shard) {
    left.clear();
    full.clear();
    hopeless.clear();
    budgets.clear(shard);
    preemption.forgetVictims();
    urgency.refresh(
        nowMicros, wallMicros, spec -> deadlineCapacity.places(spec, nowMicros, wallMicros));
    preemption.refresh(membership.shards(), nowMicros);
    List<Room> rooms = new ArrayList<>();
    for (Worker w : workers.of(shard)) {
      if (usable(w)) {
        rooms.add(Room.of(w, types.get(w.type())));
      }
    }
    List<WaitingSlice> all = new ArrayList<>();
    for (int from = 0; from < membership.shards(); from++) {
      waiting(from, shard, all);
    }
    all.sort(ORDER);
    for (WaitingSlice w : all) {
      int rest = w.foreign() ? claim(w, shard, rooms) : place(w, rooms, shard);
      if (rest > 0) {
        await(w, rest, rooms, shard);
      }
    }
  }

  /**
   * Priority first, then guarantees, then the deadline that can still be met, then the own shard's,
   * then what is due first, then what came first. The own shard's work that is late already must
   * not go before what can be in time elsewhere.
   */
  private static final Comparator<WaitingSlice> ORDER = WaitingSlice::inOrder;

  /** The same without regard to whose it is. */
  private static final Comparator<WaitingSlice> QUEUE_ORDER = WaitingSlice::inQueue;

  /** A running task's rank; what belongs to a job that is over is as good as gone. */
  public JobSpec.Rank rank(Attempt a) {
    Job job = jobs.active(a.slice().job());
    return job == null ? JobSpec.Rank.IDLE : urgency.rank(job);
  }

  private WaitingSlice waiting(Slice s, Job job, boolean foreign) {
    // Work that newer work keeps going before would never begin under a steady load. Of an array
    // one
    // task is enough for that: all of it would make the rest late as well.
    boolean starved =
        wallMicros - job.readyMicros() > starveMicros && (job.spec().whole() || !begun(job));
    // A guarantee is for work that has just come: what has waited for longer than that is meant to
    // has missed it, and would now only keep others from their deadlines.
    boolean guaranteed =
        preemption.guaranteed(job.id())
            && wallMicros - job.readyMicros() < guaranteeMicros + GUARANTEE_MARGIN_MICROS;
    return new WaitingSlice(
        s, job, urgency.rank(job), foreign, starved, guaranteed, urgency.key(job));
  }

  private boolean begun(Job job) {
    for (Slice s : slices.of(job.id())) {
      if (s.live() > 0 || !s.done.isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** The slices of one shard that wait; those of others only once they have waited a while. */
  private void waiting(int from, int shard, List<WaitingSlice> into) {
    boolean foreign = from != shard;
    starveMicros = policy.micros(Policy.Name.STARVE_AFTER);
    long claimMicros = policy.micros(Policy.Name.CLAIM_AFTER);
    for (Slice s : slices.of(from)) {
      Job job = jobs.active(s.job());
      if (job == null || s.todoCount() == 0) {
        s.waitingSinceMicros = 0;
        continue;
      }
      if (s.waitingSinceMicros == 0) {
        s.waitingSinceMicros = nowMicros;
      }
      if (!foreign || nowMicros - s.waitingSinceMicros >= claimMicros) {
        into.add(waiting(s, job, foreign));
      }
    }
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

  /** How many more attempts the part that a slice lies in has room for. */
  private int recordRoom(Slice s) {
    int undecided = 0;
    for (Attempt a : s.out.values()) {
      undecided += a.committed ? 0 : 1;
    }
    return slices.attemptRoom(s, undecided);
  }

  /** Places what it can of a slice; returns how many tasks wait for room. */
  private int place(WaitingSlice w, List<Room> rooms, int shard) {
    Slice s = w.slice();
    JobSpec spec = w.job().spec();
    int todo = s.todoCount();
    if (nowMicros < s.restUntilMicros || (recordWriter.busy(s) && !s.claims.isEmpty())) {
      return 0;
    }
    int allowed = allowedByBudget(spec, shard);
    if (spec.shape() == JobSpec.Shape.GANG) {
      if (!s.out.isEmpty()) {
        return 0;
      }
      if (allowed < todo) {
        lacks(spec, todo, allowed, rooms, shard);
        holdBudget(w, todo, allowed, rooms, shard);
        return 0;
      }
      return placeGang(s, spec, rooms, todo, shard) ? 0 : todo;
    }
    if (allowed < todo) {
      lacks(spec, todo, allowed, rooms, shard);
    }
    int wanted = Math.min(todo, allowed);
    int count = Math.min(wanted, recordRoom(s));
    boolean recordFull = count < wanted;
    if (w.starved() && !spec.whole()) {
      count = Math.min(count, 1);
    }
    int placed = 0;
    int next = s.nextTodo(0);
    Kind kind = kind(w.slice(), spec);
    while (placed < count && next >= 0 && !full.contains(kind)) {
      Room room = best(s, spec, rooms, null);
      if (room == null) {
        if (kind != null) {
          full.add(kind);
        }
        break;
      }
      start(s, next, s.nextNumber(), room);
      placed++;
      next = s.nextTodo(next + 1);
    }
    charge(spec, placed, shard);
    if (recordFull && placed == count && best(s, spec, rooms, null) != null) {
      membership.format().partsFull();
    }
    return count - placed;
  }

  /**
   * A gang for which a shard's budget is too small: what comes after it must not take the little
   * there is, or it never comes to all it needs. Others that could claim it do the same once it has
   * starved, in turns: two that held on to a part each would wait for ever.
   */
  private void holdBudget(WaitingSlice w, int todo, int allowed, List<Room> rooms, int shard) {
    JobSpec spec = w.job().spec();
    boolean turn = wallMicros / TURN_MICROS % membership.shards() == shard;
    if (!turn && (w.foreign() || w.starved())) {
      return;
    }
    charge(spec, allowed, shard);
    if (turn) {
      budgets.reserve(
          spec.team(), shard, new Budgets.Amount(spec.cpus() * allowed, spec.gpus() * allowed));
    }
    if (w.starved()) {
      hold(spec, todo, rooms, slices.zoneCounts(spec.id()));
    }
  }

  /** Asks for budget as far as there is, or may be made, room for the tasks that lack it. */
  private void lacks(JobSpec spec, int todo, int allowed, List<Room> rooms, int shard) {
    long able = 0;
    for (Room room : rooms) {
      if (able >= todo) {
        // More is never asked for.
        break;
      }
      if (room.allows(spec)) {
        able += Math.max(room.fits(spec), spec.rank() == JobSpec.Rank.NORMAL ? 0 : 1);
      }
    }
    long n = spec.shape() == JobSpec.Shape.GANG ? todo : Math.min(able, todo);
    if (able > 0 && n > allowed) {
      Budgets.Amount a = left(spec.team(), shard);
      budgets.lacks(
          spec.team(),
          shard,
          new Budgets.Amount(
              Math.max(0, spec.cpus() * n - a.cpus()), Math.max(0, spec.gpus() * n - a.gpus())));
    }
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
      Map<String, Integer> perZone = slices.zoneCounts(s.job());
      while (chosen.size() < todo) {
        Room room = best(s, spec, rooms, zone, perZone);
        if (room == null) {
          break;
        }
        room.take(spec);
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

  /** Where a job's tasks are, as far as that decides where the next may go. */
  private Map<String, Integer> zoneCounts(JobSpec spec) {
    return spec.scatter() || spec.together() ? slices.zoneCounts(spec.id()) : new HashMap<>();
  }

  /** Null for jobs whose tasks' zones depend on one another. */
  private static Kind kind(Slice s, JobSpec spec) {
    if (spec.scatter() || spec.together()) {
      return null;
    }
    if (s.kind == null) {
      s.kind =
          new Kind(
              spec.cpus(),
              spec.gpus(),
              spec.memory(),
              spec.types(),
              spec.zone(),
              spec.spot(),
              spec.shape() == JobSpec.Shape.SERVICE);
    }
    return s.kind;
  }

  private Room best(Slice s, JobSpec spec, List<Room> rooms, String zone) {
    return best(s, spec, rooms, zone, zoneCounts(spec));
  }

  /** The room that suits a task best; null if none does. */
  private Room best(
      Slice s, JobSpec spec, List<Room> rooms, String zone, Map<String, Integer> perZone) {
    Room best = null;
    double bestScore = 0;
    for (Room room : rooms) {
      if (room.fits(spec) == 0 || !suits(spec, room, zone, perZone)) {
        continue;
      }
      double score = score(spec, room, perZone.getOrDefault(room.worker.zone(), 0));
      if (best == null || score < bestScore) {
        best = room;
        bestScore = score;
      }
    }
    return best;
  }

  /** Whether a job's next task may go to a machine, whatever is free there. */
  private static boolean suits(JobSpec spec, Room room, String zone, Map<String, Integer> perZone) {
    String in = room.worker.zone();
    return room.allows(spec)
        && (zone == null || zone.equals(in))
        && spec.zoneOpen(in, perZone)
        && (spec.gpus() > 0 || room.type.gpus() == 0 || spec.shape() != JobSpec.Shape.SERVICE);
  }

  /** Lower is better: what the fetch costs, then rare GPUs, then the fullest machine. */
  private double score(JobSpec spec, Room room, int inZone) {
    double fetch =
        room.worker.hasImage(spec.image()) ? 0 : spec.imageGb() / room.type.fetchGbPerS();
    double gpus = spec.gpus() == 0 && room.type.gpus() > 0 ? 30 : 0;
    double kind = spec.spot() && !room.worker.spot() ? 2 : 0;
    double spread = spec.scatter() ? inZone : 0;
    double empty = (double) room.cpus / room.type.cpus();
    // A zone without a controller loses its workers' leases when it is cut off.
    double lonely =
        spec.shape() == JobSpec.Shape.SERVICE && !controllerZones.contains(room.worker.zone())
            ? 2
            : 0;
    // A machine that is not needed is to run empty and be given back.
    double unneeded = room.worker.unneeded ? UNNEEDED : 0;
    // A run waits for the machine's next report: with many machines some report sooner than others.
    long next = room.worker.nextAnswerMicros(settings.workers().reportMicros());
    double answer = Math.max(0, next - nowMicros) / 1e6;
    double haste = spec.rank().ordinal() <= JobSpec.Rank.HIGH.ordinal() ? 1 : PATIENT;
    return fetch + gpus + kind + spread + empty + lonely + unneeded + haste * answer;
  }

  private void start(Slice s, int task, long number, Room room) {
    room.take(s.cpus(), s.gpus(), s.memory());
    preemption.started(jobs.active(s.job()).spec());
    slices.put(new Attempt(s, task, number, room.worker.host(), nowMicros));
    recordWriter.changed(s);
  }

  /**
   * Takes other shards' tasks that wait into a slice of ours, as far as they start at once. Returns
   * how many it had no room for.
   */
  private int claim(WaitingSlice w, int shard, List<Room> rooms) {
    Slice from = w.slice();
    JobSpec spec = w.job().spec();
    boolean gang = spec.shape() == JobSpec.Shape.GANG;
    if (gang && !from.out.isEmpty()) {
      return 0;
    }
    int todo = from.todoCount();
    if (!gang && full.contains(kind(from, spec))) {
      return Math.min(todo, allowedByBudget(spec, shard));
    }
    if (recordWriter.busy(from)) {
      // Until the part that it lies in is written, room is held for it: if others got that, they
      // would be stopped for it again.
      return todo;
    }
    Slice own = slices.get(shard, spec.id());
    if (own == null) {
      own = slices.create(shard, w.job());
    }
    int allowed = allowedByBudget(spec, shard);
    int count = Math.min(todo, Math.min(allowed, recordRoom(own)));
    if (w.starved() && !spec.whole()) {
      count = Math.min(count, 1);
    }
    if (allowed < todo) {
      lacks(spec, todo, allowed, rooms, shard);
    }
    if (gang && allowed < todo && w.starved()) {
      holdBudget(w, todo, allowed, rooms, shard);
    }
    if (!own.claims.isEmpty()
        || own.todoCount() > 0
        || nowMicros < own.restUntilMicros
        || nowMicros < from.restUntilMicros
        || count <= 0
        || (gang && count < todo)) {
      slices.discardIfEmpty(own);
      return 0;
    }
    BitSet tasks = new BitSet();
    int task = from.nextTodo(0);
    for (int i = 0; i < count && task >= 0; i++) {
      tasks.set(task);
      task = from.nextTodo(task + 1);
    }
    own.assign(tasks);
    place(w.of(own), rooms, shard);
    for (int t = tasks.nextSetBit(0); t >= 0; t = tasks.nextSetBit(t + 1)) {
      if (!own.out.containsKey(t)) {
        tasks.clear(t);
        own.unassign(t);
      }
    }
    if (tasks.isEmpty()) {
      slices.discardIfEmpty(own);
      return todo;
    }
    own.claims.put(from, tasks);
    recordWriter.changed(own);
    LOG.info("claim {} tasks {} from shard {} for shard {}", spec.id(), tasks, from.shard(), shard);
    return todo - tasks.cardinality();
  }

  /** A machine on which a waiting task gets room, at what it costs those that run there. */
  private record Chance(Room room, Preemption.Plan plan, double cost) {}

  private Chance chance(JobSpec spec, Room room, boolean mayStop, Set<Attempt> victims) {
    Preemption.Plan plan = Preemption.NOTHING;
    if (!room.fitsSoon(spec)) {
      plan = mayStop ? preemption.plan(room, spec, victims, nowMicros) : null;
    }
    return plan == null ? null : new Chance(room, plan, plan.lossS() + score(spec, room, 0));
  }

  /**
   * For tasks that found no room: holds room that is being freed, and stops others for them where
   * that is allowed.
   */
  private void await(WaitingSlice w, int count, List<Room> rooms, int shard) {
    JobSpec spec = w.job().spec();
    long waited = nowMicros - w.slice().waitingSinceMicros;
    boolean gang = spec.shape() == JobSpec.Shape.GANG;
    // Others with free room come first; those who would have to stop something for a task that
    // is not theirs wait for its own shard, and for those before them.
    int place = Math.floorMod(shard - w.slice().shard(), membership.shards());
    boolean busy = w.foreign() && recordWriter.busy(w.slice());
    boolean mayStop =
        !busy && waited >= policy.micros(Policy.Name.STOP_AFTER) + place * FOREIGN_STEP_MICROS;
    preemption.patience(w.guaranteed() && waited >= policy.micros(Policy.Name.STOP_EQUAL_AFTER));
    mayStop = mayStop && preemption.anyVictim(spec, workers.of(shard), nowMicros);
    int rest = count;
    Kind kind = kind(w.slice(), spec);
    if (!gang && !mayStop && hopeless.contains(kind)) {
      return;
    }
    Map<String, Integer> perZone = zoneCounts(spec);
    Set<Attempt> victims = new LinkedHashSet<>();
    List<Chance> chances = new ArrayList<>();
    for (Room room : rooms) {
      if (suits(spec, room, null, perZone) && (mayStop || room.fitsSoon(spec))) {
        Chance chance = chance(spec, room, mayStop, victims);
        if (chance != null) {
          chances.add(chance);
        }
      }
    }
    if (chances.isEmpty() && kind != null) {
      hopeless.add(kind);
    }
    while (rest > 0) {
      int best = -1;
      double bestCost = 0;
      for (int i = 0; i < chances.size(); i++) {
        Chance c = chances.get(i);
        String zone = c.room().worker.zone();
        if (spec.zoneOpen(zone, perZone)) {
          double cost = c.cost() + (spec.scatter() ? perZone.getOrDefault(zone, 0) : 0);
          if (best < 0 || cost < bestCost) {
            best = i;
            bestCost = cost;
          }
        }
      }
      if (best < 0) {
        break;
      }
      Room room = chances.get(best).room();
      for (Attempt a : chances.get(best).plan().victims()) {
        victims.add(a);
        room.stopping(a.slice());
      }
      room.take(spec);
      perZone.merge(room.worker.zone(), 1, Integer::sum);
      rest--;
      Chance again = chance(spec, room, mayStop, victims);
      if (again == null) {
        chances.remove(best);
      } else {
        chances.set(best, again);
      }
    }
    if (!gang || rest == 0) {
      for (Attempt a : victims) {
        LOG.info("stop {} for {}", a, spec.id());
        preemption.stopped(a);
        hopeless.clear();
        scheduler.kill(a, preemption.graceS(a));
      }
      for (int i = rest; i < count; i++) {
        preemption.started(spec);
        budgets.reserve(spec.team(), shard, new Budgets.Amount(spec.cpus(), spec.gpus()));
      }
    }
    if (gang && rest > 0) {
      hold(spec, rest, rooms, perZone);
    }
  }

  /**
   * A gang that nothing may be stopped for gets what falls free, on the machines that it could use:
   * the room that it lacks is taken in thought, so that nobody else gets it. One that stays
   * together gets it in the zone where most of it could be.
   */
  private void hold(JobSpec spec, int count, List<Room> rooms, Map<String, Integer> perZone) {
    Map<String, Integer> able = new HashMap<>();
    for (Room room : rooms) {
      if (suits(spec, room, null, perZone)) {
        able.merge(room.worker.zone(), room.type.fits(spec), Integer::sum);
      }
    }
    String zone = null;
    for (Map.Entry<String, Integer> e : able.entrySet()) {
      if (spec.together() && (zone == null || e.getValue() > able.get(zone))) {
        zone = e.getKey();
      }
    }
    int rest = count;
    for (Room room : rooms) {
      if (rest > 0 && suits(spec, room, zone, perZone)) {
        for (int n = Math.min(rest, room.type.fits(spec)); n > 0; n--) {
          room.take(spec);
          rest--;
        }
      }
    }
  }
}
