package gladeknot.scheduling;

import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec;
import gladeknot.lifecycle.TaskLifecycle;
import gladeknot.membership.Membership;
import gladeknot.policy.Policy;
import gladeknot.quota.QuotaAllocator;
import gladeknot.quota.ResourceAmount;
import gladeknot.settings.ObjectiveKind;
import gladeknot.settings.Settings;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tasks.TaskRequirements;
import gladeknot.workers.MachineType;
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
public final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);
  private static final long PASS_MICROS = 60_000;

  /**
   * For so many machines a shard passes may follow one another that closely, for more as much less:
   * a pass looks at all of them. What it decides waits for a commit, which takes longer.
   */
  private static final double USUAL_SHARE = 25;

  private static final double MAX_SLOWED = 8;

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
  public interface MachineTypes {
    MachineType get(String name);
  }

  /**
   * Tasks of one slice that wait for room; starved are those that are late for all their deadlines
   * and that newer work keeps going before.
   */
  public record PendingDemand(
      Job job,
      int shard,
      int count,
      boolean owned,
      boolean starved,
      Map<String, Integer> tasksByZone) {}

  /** All that waits for room, in the order in which it would get it. */
  public record DemandQueue(List<PendingDemand> pending) {}

  private final Settings settings;
  private final Policy policy;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final WorkerRegistry workers;
  private final TransactionCommitter recordWriter;
  private final QuotaAllocator budgets;
  private final TaskLifecycle scheduler;
  private final MachineTypes types;
  private final Preemption preemption;
  private final DeadlineOrder urgency;
  private final DeadlineCapacity deadlineCapacity;
  private final Supplier<List<String>> zonesOffered;

  /** Kept, since it is asked for each machine that a replica is weighed on. */
  private final Set<String> controllerZones;

  private final Map<String, ResourceAmount> left = new HashMap<>();

  /**
   * Kinds of tasks that no machine has room for, and that none will have once what stops has
   * stopped: room only shrinks while a pass goes on, so one look serves all slices that wait.
   */
  private final Set<TaskRequirements> full = new HashSet<>();

  private final Set<TaskRequirements> hopeless = new HashSet<>();
  private final long guaranteeMicros;
  private long completedRounds;
  private long nextMicros;
  private long againMicros;
  private long starveMicros;
  private long nowMicros;
  private long wallMicros;

  /** A matcher of tasks and machines that has decided nothing yet. */
  public Scheduler(
      Settings settings,
      Policy policy,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      WorkerRegistry workers,
      TransactionCommitter recordWriter,
      QuotaAllocator budgets,
      TaskLifecycle scheduler,
      MachineTypes types,
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
      if (o.kind() == ObjectiveKind.GUARANTEE) {
        within = o.withinMicros();
      }
    }
    this.guaranteeMicros = within;
    this.deadlineCapacity = new DeadlineCapacity(jobs, workers, types);
    this.urgency = new DeadlineOrder(settings, policy, jobs, slices, scheduler.estimates());
    this.preemption = new Preemption(settings, policy, jobs, slices, urgency::priority);
  }

  /** What waits in all shards. */
  public DemandQueue demandQueue() {
    starveMicros = policy.micros(Policy.Name.STARVE_AFTER);
    List<PendingSlice> all = new ArrayList<>();
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      boolean ours = membership.permits(ControlAction.SCHEDULE, shard);
      for (Slice s : slices.inShard(shard)) {
        Job job = jobs.active(s.job());
        if (job != null && s.pendingCount() > 0 && nowMicros >= s.backoffUntilMicros()) {
          all.add(waiting(s, job, !ours));
        }
      }
    }
    all.sort(QUEUE_ORDER);
    List<PendingDemand> queue = new ArrayList<>();
    Map<String, ResourceAmount> open = new HashMap<>();
    for (PendingSlice w : all) {
      JobSpec spec = w.job().spec();
      int count = w.slice().pendingCount();
      // What its team's limit keeps from running anywhere needs no machine.
      ResourceAmount a = open.computeIfAbsent(spec.team(), budgets::clusterHeadroom);
      long n = Math.min(count, a.cpus() / spec.cpus());
      if (spec.gpus() > 0) {
        n = Math.min(n, a.gpus() / spec.gpus());
      }
      if (w.starved() && spec.unsplit()) {
        // Budget will be held for it: it must not lack a machine then.
        n = count;
      }
      if (spec.shape() == JobSpec.Shape.SERVICE && spec.spread()) {
        n = Math.min(n, zonesLeft(w.slice(), spec));
      }
      if (n > 0) {
        open.put(
            spec.team(),
            new ResourceAmount(a.cpus() - spec.cpus() * n, a.gpus() - spec.gpus() * n));
        queue.add(
            new PendingDemand(
                w.job(),
                w.slice().shard(),
                (int) n,
                !w.remote(),
                urgency.late(w.job(), wallMicros)
                    && w.slice().pendingSinceMicros() != 0
                    && nowMicros - w.slice().pendingSinceMicros()
                        > policy.micros(Policy.Name.PATIENCE),
                zoneCounts(spec)));
      }
    }
    return new DemandQueue(queue);
  }

  /** How many more tasks of a spread job have a zone to go to. */
  private long zonesLeft(Slice s, JobSpec spec) {
    Map<String, Integer> counts = slices.zoneCounts(s.job());
    long left = 0;
    for (String zone : zonesOffered.get()) {
      left += Math.max(0, spec.maxPerZone() - counts.getOrDefault(zone, 0));
    }
    return left;
  }

  public RuntimeEstimates estimates() {
    return scheduler.estimates();
  }

  /** By when a job has to end for its pipeline to be in time, by the time of day. */
  public long latestEndMicros(Job job) {
    return urgency.latestEndMicros(job);
  }

  /** When an attempt is likely to end. */
  public long expectedEndMicros(Attempt a) {
    Job job = jobs.active(a.slice().job());
    if (job == null || a.killRequested()) {
      return nowMicros + 1_000_000;
    }
    long run = estimates().runMicros(job.spec());
    if (run >= Long.MAX_VALUE / 4) {
      return run;
    }
    long from =
        a.runningSinceMicros() != 0 ? a.runningSinceMicros() : a.decidedMicros() + START_MICROS;
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
    if (now < nextMicros || (now < againMicros && !scheduler.takeSchedulingNeeded())) {
      return;
    }
    passNow();
  }

  /** How many times starts have been decided. */
  public long completedRounds() {
    return completedRounds;
  }

  /** Decides starts if something has changed and the last time is not too short ago. */
  public void runIfNeeded() {
    if (nowMicros >= nextMicros && scheduler.takeSchedulingNeeded()) {
      passNow();
    }
  }

  private void passNow() {
    completedRounds++;
    double slower = workers.all().size() / (USUAL_SHARE * membership.shardCount());
    nextMicros = nowMicros + (long) (PASS_MICROS * Math.max(1, Math.min(MAX_SLOWED, slower)));
    againMicros = nowMicros + AGAIN_MICROS;
    for (int shard = 0; shard < membership.shardCount(); shard++) {
      if (membership.permits(ControlAction.SCHEDULE, shard)) {
        pass(shard);
      }
    }
    recordWriter.flush();
  }

  /** Whether new tasks may go to a worker. */
  public boolean isSchedulable(Worker w) {
    return w.heartbeat() != null
        && w.registered()
        && !w.terminating()
        && !w.releasing()
        && w.reclaimAtMicros() == 0
        && nowMicros >= w.quarantinedUntilMicros()
        && w.consecutiveFailures() < 4
        && !w.unreachable()
        && nowMicros - w.heartbeatMicros() < 2 * settings.workers().heartbeatMicros() + 500_000
        && types.get(w.type()) != null;
  }

  private void pass(int shard) {
    left.clear();
    full.clear();
    hopeless.clear();
    budgets.beginPass(shard);
    preemption.forgetVictims();
    urgency.refresh(
        nowMicros, wallMicros, spec -> deadlineCapacity.places(spec, nowMicros, wallMicros));
    preemption.refresh(membership.shardCount(), nowMicros);
    List<CandidateMachine> rooms = new ArrayList<>();
    for (Worker w : workers.inShard(shard)) {
      if (isSchedulable(w)) {
        rooms.add(CandidateMachine.of(w, types.get(w.type())));
      }
    }
    List<PendingSlice> all = new ArrayList<>();
    for (int from = 0; from < membership.shardCount(); from++) {
      waiting(from, shard, all);
    }
    all.sort(ORDER);
    for (PendingSlice w : all) {
      int rest = w.remote() ? claim(w, shard, rooms) : place(w, rooms, shard);
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
  private static final Comparator<PendingSlice> ORDER = PendingSlice::inOrder;

  /** The same without regard to whose it is. */
  private static final Comparator<PendingSlice> QUEUE_ORDER = PendingSlice::inQueue;

  /** A running task's rank; what belongs to a job that is over is as good as gone. */
  public JobSpec.Priority priority(Attempt a) {
    Job job = jobs.active(a.slice().job());
    return job == null ? JobSpec.Priority.IDLE : urgency.priority(job);
  }

  private PendingSlice waiting(Slice s, Job job, boolean foreign) {
    // Work that newer work keeps going before would never begin under a steady load. Of an array
    // one
    // task is enough for that: all of it would make the rest late as well.
    boolean starved =
        wallMicros - job.readyMicros() > starveMicros && (job.spec().unsplit() || !begun(job));
    // A guarantee is for work that has just come: what has waited for longer than that is meant to
    // has missed it, and would now only keep others from their deadlines.
    boolean guaranteed =
        preemption.guaranteed(job.id())
            && wallMicros - job.readyMicros() < guaranteeMicros + GUARANTEE_MARGIN_MICROS;
    return new PendingSlice(
        s, job, urgency.priority(job), foreign, starved, guaranteed, urgency.key(job));
  }

  private boolean begun(Job job) {
    for (Slice s : slices.ofJob(job.id())) {
      if (s.liveCount() > 0 || !s.done().isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** The slices of one shard that wait; those of others only once they have waited a while. */
  private void waiting(int from, int shard, List<PendingSlice> into) {
    boolean foreign = from != shard;
    starveMicros = policy.micros(Policy.Name.STARVE_AFTER);
    long claimMicros = policy.micros(Policy.Name.CLAIM_AFTER);
    for (Slice s : slices.inShard(from)) {
      Job job = jobs.active(s.job());
      if (job == null || s.pendingCount() == 0) {
        s.clearPending();
        continue;
      }
      s.markPending(nowMicros);
      if (!foreign || nowMicros - s.pendingSinceMicros() >= claimMicros) {
        into.add(waiting(s, job, foreign));
      }
    }
  }

  private ResourceAmount left(String team, int shard) {
    return left.computeIfAbsent(team, t -> budgets.available(t, shard));
  }

  private int allowedByBudget(JobSpec spec, int shard) {
    ResourceAmount a = left(spec.team(), shard);
    long n = a.cpus() / spec.cpus();
    if (spec.gpus() > 0) {
      n = Math.min(n, a.gpus() / spec.gpus());
    }
    return (int) Math.max(0, Math.min(n, Integer.MAX_VALUE));
  }

  private void charge(JobSpec spec, int count, int shard) {
    ResourceAmount a = left(spec.team(), shard);
    left.put(
        spec.team(),
        new ResourceAmount(a.cpus() - spec.cpus() * count, a.gpus() - spec.gpus() * count));
  }

  /** How many more attempts the part that a slice lies in has room for. */
  private int recordRoom(Slice s) {
    int undecided = 0;
    for (Attempt a : s.attemptsByTask().values()) {
      undecided += a.committed() ? 0 : 1;
    }
    return slices.attemptCapacity(s, undecided);
  }

  /** Places what it can of a slice; returns how many tasks wait for room. */
  private int place(PendingSlice w, List<CandidateMachine> rooms, int shard) {
    Slice s = w.slice();
    JobSpec spec = w.job().spec();
    int todo = s.pendingCount();
    if (nowMicros < s.backoffUntilMicros()
        || (recordWriter.isInFlight(s) && !s.pendingClaims().isEmpty())) {
      return 0;
    }
    int allowed = allowedByBudget(spec, shard);
    if (spec.shape() == JobSpec.Shape.GANG) {
      if (!s.attemptsByTask().isEmpty()) {
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
    if (w.starved() && !spec.unsplit()) {
      count = Math.min(count, 1);
    }
    int placed = 0;
    int next = s.nextPending(0);
    TaskRequirements kind = kind(w.slice(), spec);
    while (placed < count && next >= 0 && !full.contains(kind)) {
      CandidateMachine room = best(s, spec, rooms, null);
      if (room == null) {
        if (kind != null) {
          full.add(kind);
        }
        break;
      }
      start(s, next, s.nextAttemptNumber(), room);
      placed++;
      next = s.nextPending(next + 1);
    }
    charge(spec, placed, shard);
    if (recordFull && placed == count && best(s, spec, rooms, null) != null) {
      membership.format().reportSegmentFull();
    }
    return count - placed;
  }

  /**
   * A gang for which a shard's budget is too small: what comes after it must not take the little
   * there is, or it never comes to all it needs. Others that could claim it do the same once it has
   * starved, in turns: two that held on to a part each would wait for ever.
   */
  private void holdBudget(
      PendingSlice w, int todo, int allowed, List<CandidateMachine> rooms, int shard) {
    JobSpec spec = w.job().spec();
    boolean turn = wallMicros / TURN_MICROS % membership.shardCount() == shard;
    if (!turn && (w.remote() || w.starved())) {
      return;
    }
    charge(spec, allowed, shard);
    if (turn) {
      budgets.reserve(
          spec.team(), shard, new ResourceAmount(spec.cpus() * allowed, spec.gpus() * allowed));
    }
    if (w.starved()) {
      hold(spec, todo, rooms, slices.zoneCounts(spec.id()));
    }
  }

  /** Asks for budget as far as there is, or may be made, room for the tasks that lack it. */
  private void lacks(JobSpec spec, int todo, int allowed, List<CandidateMachine> rooms, int shard) {
    long able = 0;
    for (CandidateMachine room : rooms) {
      if (able >= todo) {
        // More is never asked for.
        break;
      }
      if (room.satisfiesConstraints(spec)) {
        able +=
            Math.max(room.capacityFor(spec), spec.priority() == JobSpec.Priority.NORMAL ? 0 : 1);
      }
    }
    long n = spec.shape() == JobSpec.Shape.GANG ? todo : Math.min(able, todo);
    if (able > 0 && n > allowed) {
      ResourceAmount a = left(spec.team(), shard);
      budgets.reportDeficit(
          spec.team(),
          shard,
          new ResourceAmount(
              Math.max(0, spec.cpus() * n - a.cpus()), Math.max(0, spec.gpus() * n - a.gpus())));
    }
  }

  private boolean placeGang(
      Slice s, JobSpec spec, List<CandidateMachine> rooms, int todo, int shard) {
    List<String> zones = new ArrayList<>();
    if (spec.colocated()) {
      rooms.stream().map(r -> r.worker.zone()).distinct().forEach(zones::add);
    } else {
      zones.add(null);
    }
    for (String zone : zones) {
      List<CandidateMachine> chosen = new ArrayList<>();
      Map<String, Integer> perZone = slices.zoneCounts(s.job());
      while (chosen.size() < todo) {
        CandidateMachine room = best(s, spec, rooms, zone, perZone);
        if (room == null) {
          break;
        }
        room.allocate(spec);
        perZone.merge(room.worker.zone(), 1, Integer::sum);
        chosen.add(room);
      }
      chosen.forEach(r -> r.allocate(-spec.cpus(), -spec.gpus(), -spec.memory()));
      if (chosen.size() == todo) {
        long number = s.nextAttemptNumber();
        int task = s.nextPending(0);
        for (CandidateMachine room : chosen) {
          start(s, task, number, room);
          task = s.nextPending(task + 1);
        }
        charge(spec, todo, shard);
        return true;
      }
    }
    return false;
  }

  /** Where a job's tasks are, as far as that decides where the next may go. */
  private Map<String, Integer> zoneCounts(JobSpec spec) {
    return spec.spread() || spec.colocated() ? slices.zoneCounts(spec.id()) : new HashMap<>();
  }

  /** Null for jobs whose tasks' zones depend on one another. */
  private static TaskRequirements kind(Slice s, JobSpec spec) {
    if (spec.spread() || spec.colocated()) {
      return null;
    }
    return s.requirements(spec);
  }

  private CandidateMachine best(Slice s, JobSpec spec, List<CandidateMachine> rooms, String zone) {
    return best(s, spec, rooms, zone, zoneCounts(spec));
  }

  /** The room that suits a task best; null if none does. */
  private CandidateMachine best(
      Slice s,
      JobSpec spec,
      List<CandidateMachine> rooms,
      String zone,
      Map<String, Integer> perZone) {
    CandidateMachine best = null;
    double bestScore = 0;
    for (CandidateMachine room : rooms) {
      if (room.capacityFor(spec) == 0 || !suits(spec, room, zone, perZone)) {
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
  private static boolean suits(
      JobSpec spec, CandidateMachine room, String zone, Map<String, Integer> perZone) {
    String in = room.worker.zone();
    return room.satisfiesConstraints(spec)
        && (zone == null || zone.equals(in))
        && spec.allowsZone(in, perZone)
        && (spec.gpus() > 0 || room.type.gpus() == 0 || spec.shape() != JobSpec.Shape.SERVICE);
  }

  /** Lower is better: what the fetch costs, then rare GPUs, then the fullest machine. */
  private double score(JobSpec spec, CandidateMachine room, int inZone) {
    double fetch =
        room.worker.hasImage(spec.image()) ? 0 : spec.imageGb() / room.type.fetchGbPerS();
    double gpus = spec.gpus() == 0 && room.type.gpus() > 0 ? 30 : 0;
    double kind = spec.spotAllowed() && !room.worker.spot() ? 2 : 0;
    double spread = spec.spread() ? inZone : 0;
    double empty = (double) room.freeCpus / room.type.cpus();
    // A zone without a controller loses its workers' leases when it is cut off.
    double lonely =
        spec.shape() == JobSpec.Shape.SERVICE && !controllerZones.contains(room.worker.zone())
            ? 2
            : 0;
    // A machine that is not needed is to run empty and be given back.
    double unneeded = room.worker.surplus() ? UNNEEDED : 0;
    // A run waits for the machine's next report: with many machines some report sooner than others.
    long next = room.worker.nextAnswerMicros(settings.workers().heartbeatMicros());
    double answer = Math.max(0, next - nowMicros) / 1e6;
    double haste = spec.priority().ordinal() <= JobSpec.Priority.HIGH.ordinal() ? 1 : PATIENT;
    return fetch + gpus + kind + spread + empty + lonely + unneeded + haste * answer;
  }

  private void start(Slice s, int task, long number, CandidateMachine room) {
    room.allocate(s.cpus(), s.gpus(), s.memory());
    preemption.started(jobs.active(s.job()).spec());
    slices.addAttempt(new Attempt(s, task, number, room.worker.host(), nowMicros));
    recordWriter.markDirty(s);
  }

  /**
   * Takes other shards' tasks that wait into a slice of ours, as far as they start at once. Returns
   * how many it had no room for.
   */
  private int claim(PendingSlice w, int shard, List<CandidateMachine> rooms) {
    Slice from = w.slice();
    JobSpec spec = w.job().spec();
    boolean gang = spec.shape() == JobSpec.Shape.GANG;
    if (gang && !from.attemptsByTask().isEmpty()) {
      return 0;
    }
    int todo = from.pendingCount();
    if (!gang && full.contains(kind(from, spec))) {
      return Math.min(todo, allowedByBudget(spec, shard));
    }
    if (recordWriter.isInFlight(from)) {
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
    if (w.starved() && !spec.unsplit()) {
      count = Math.min(count, 1);
    }
    if (allowed < todo) {
      lacks(spec, todo, allowed, rooms, shard);
    }
    if (gang && allowed < todo && w.starved()) {
      holdBudget(w, todo, allowed, rooms, shard);
    }
    if (!own.pendingClaims().isEmpty()
        || own.pendingCount() > 0
        || nowMicros < own.backoffUntilMicros()
        || nowMicros < from.backoffUntilMicros()
        || count <= 0
        || (gang && count < todo)) {
      slices.discardIfEmpty(own);
      return 0;
    }
    BitSet tasks = new BitSet();
    int task = from.nextPending(0);
    for (int i = 0; i < count && task >= 0; i++) {
      tasks.set(task);
      task = from.nextPending(task + 1);
    }
    own.assign(tasks);
    place(w.of(own), rooms, shard);
    for (int t = tasks.nextSetBit(0); t >= 0; t = tasks.nextSetBit(t + 1)) {
      if (!own.attemptsByTask().containsKey(t)) {
        tasks.clear(t);
        own.unassign(t);
      }
    }
    if (tasks.isEmpty()) {
      slices.discardIfEmpty(own);
      return todo;
    }
    own.addClaim(from, tasks);
    recordWriter.markDirty(own);
    LOG.info("claim {} tasks {} from shard {} for shard {}", spec.id(), tasks, from.shard(), shard);
    return todo - tasks.cardinality();
  }

  /** A machine on which a waiting task gets room, at what it costs those that run there. */
  private record Chance(CandidateMachine room, Preemption.Plan plan, double cost) {}

  private Chance chance(
      JobSpec spec, CandidateMachine room, boolean mayStop, Set<Attempt> victims) {
    Preemption.Plan plan = Preemption.NOTHING;
    if (!room.fitsAfterTermination(spec)) {
      plan = mayStop ? preemption.plan(room, spec, victims, nowMicros) : null;
    }
    return plan == null ? null : new Chance(room, plan, plan.lossS() + score(spec, room, 0));
  }

  /**
   * For tasks that found no room: holds room that is being freed, and stops others for them where
   * that is allowed.
   */
  private void await(PendingSlice w, int count, List<CandidateMachine> rooms, int shard) {
    JobSpec spec = w.job().spec();
    long waited = nowMicros - w.slice().pendingSinceMicros();
    boolean gang = spec.shape() == JobSpec.Shape.GANG;
    // Others with free room come first; those who would have to stop something for a task that
    // is not theirs wait for its own shard, and for those before them.
    int place = Math.floorMod(shard - w.slice().shard(), membership.shardCount());
    boolean busy = w.remote() && recordWriter.isInFlight(w.slice());
    boolean mayStop =
        !busy && waited >= policy.micros(Policy.Name.STOP_AFTER) + place * FOREIGN_STEP_MICROS;
    preemption.patience(w.guaranteed() && waited >= policy.micros(Policy.Name.STOP_EQUAL_AFTER));
    mayStop = mayStop && preemption.anyVictim(spec, workers.inShard(shard), nowMicros);
    int rest = count;
    TaskRequirements kind = kind(w.slice(), spec);
    if (!gang && !mayStop && hopeless.contains(kind)) {
      return;
    }
    Map<String, Integer> perZone = zoneCounts(spec);
    Set<Attempt> victims = new LinkedHashSet<>();
    List<Chance> chances = new ArrayList<>();
    for (CandidateMachine room : rooms) {
      if (suits(spec, room, null, perZone) && (mayStop || room.fitsAfterTermination(spec))) {
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
        if (spec.allowsZone(zone, perZone)) {
          double cost = c.cost() + (spec.spread() ? perZone.getOrDefault(zone, 0) : 0);
          if (best < 0 || cost < bestCost) {
            best = i;
            bestCost = cost;
          }
        }
      }
      if (best < 0) {
        break;
      }
      CandidateMachine room = chances.get(best).room();
      for (Attempt a : chances.get(best).plan().victims()) {
        victims.add(a);
        room.addTerminating(a.slice());
      }
      room.allocate(spec);
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
        budgets.reserve(spec.team(), shard, new ResourceAmount(spec.cpus(), spec.gpus()));
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
  private void hold(
      JobSpec spec, int count, List<CandidateMachine> rooms, Map<String, Integer> perZone) {
    Map<String, Integer> able = new HashMap<>();
    for (CandidateMachine room : rooms) {
      if (suits(spec, room, null, perZone)) {
        able.merge(room.worker.zone(), room.type.fits(spec), Integer::sum);
      }
    }
    String zone = null;
    for (Map.Entry<String, Integer> e : able.entrySet()) {
      if (spec.colocated() && (zone == null || e.getValue() > able.get(zone))) {
        zone = e.getKey();
      }
    }
    int rest = count;
    for (CandidateMachine room : rooms) {
      if (rest > 0 && suits(spec, room, zone, perZone)) {
        for (int n = Math.min(rest, room.type.fits(spec)); n > 0; n--) {
          room.allocate(spec);
          rest--;
        }
      }
    }
  }
}
