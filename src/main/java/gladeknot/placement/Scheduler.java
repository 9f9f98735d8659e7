package gladeknot.placement;

import gladeknot.connectivity.OrderKind;
import gladeknot.http.Outbox;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec.Shape;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore.Write;
import gladeknot.tracing.TaskTracer;
import gladeknot.workers.Report;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows attempts from their commit to their end: runs, kills, reaps, lapses, final states. */
public final class Scheduler {
  private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);
  private static final long CHECK_MICROS = 250_000;

  /** Beyond a lease, what a session may last without an answer that was taken. */
  private static final long HEARING_MICROS = 3_000_000;

  /** After so many answers that a worker did not get, its tasks are started elsewhere. */
  private static final int MOST_MISSED = 2;

  private final Settings settings;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final WorkerRegistry workers;
  private final RecordWriter recordWriter;
  private final TaskKiller taskKiller;
  private final ImageSizes types;
  private final TaskTracer tracer;
  private final Estimates estimates = new Estimates();
  private final RecalledMachines recalledMachines;
  private final Set<String> finishing = new HashSet<>();
  private long nowMicros;
  private long wallMicros;
  private long nextCheckMicros;
  private boolean changed;

  /** The image cache's size on a type of machine. */
  public interface ImageSizes {
    double cacheGb(String type);
  }

  /** A scheduler that knows of no attempts yet. */
  public Scheduler(
      Settings settings,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      WorkerRegistry workers,
      RecordWriter recordWriter,
      Outbox outbox,
      ImageSizes types,
      TaskTracer tracer) {
    this.tracer = tracer;
    this.settings = settings;
    this.membership = membership;
    this.jobs = jobs;
    this.slices = slices;
    this.workers = workers;
    this.recordWriter = recordWriter;
    this.taskKiller = new TaskKiller(membership, workers, outbox);
    this.types = types;
    this.recalledMachines = new RecalledMachines(membership, jobs, workers, estimates);
  }

  /** Whether something happened since the last call that may let tasks be placed. */
  public boolean takeChanged() {
    boolean was = changed;
    changed = false;
    return was;
  }

  public boolean isChanged() {
    return changed;
  }

  public Estimates estimates() {
    return estimates;
  }

  public void touch() {
    changed = true;
  }

  /** Repeats kills, finds lapsed leases and jobs that are complete, each when it is time. */
  public void tick(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    taskKiller.tick(now);
    if (now < nextCheckMicros) {
      return;
    }
    nextCheckMicros = now + CHECK_MICROS;
    for (int shard : membership.owned()) {
      if (membership.permits(OrderKind.RECORD, shard)) {
        lapses(shard);
        recalledMachines.drain(shard, now, this::kill);
      }
    }
    finals();
  }

  /** Takes a job's change in: what is over is stopped. */
  public void jobChanged(Job before, Job now) {
    String id = now != null ? now.id() : before.id();
    slices.jobChanged(id, now);
    changed = true;
    if (now != null && now.active()) {
      return;
    }
    finishing.remove(id);
    for (Slice s : slices.of(id)) {
      if (membership.owned().contains(s.shard())) {
        stopAll(s);
        recordWriter.changed(s);
      }
    }
  }

  /** A part of a shard's record has changed in the copy. */
  public void recordChanged(String key) {
    changed = true;
    recordWriter.sync(key);
  }

  private void stopAll(Slice s) {
    for (Attempt a : List.copyOf(s.out.values())) {
      if (!a.committed) {
        slices.remove(a);
      } else if (!a.closed) {
        a.overdue = true;
        kill(a, 0);
      }
    }
  }

  /**
   * Another controller has committed that jobs are withdrawn, and our copy may not show it for a
   * while: what we have of them is stopped at once.
   */
  public void withdrawnElsewhere(List<String> ids) {
    for (String id : ids) {
      for (Slice s : slices.of(id)) {
        if (membership.owned().contains(s.shard())) {
          for (Attempt a : s.out.values()) {
            if (a.committed && !a.closed) {
              a.overdue = true;
              kill(a, 0);
            }
          }
        }
      }
    }
  }

  /** Kills for what a report lists of jobs that are over by the copy. */
  public List<Map<String, Object>> overdue(Report report) {
    List<Map<String, Object>> kills = new ArrayList<>();
    for (Report.Task t : report.tasks()) {
      if (!t.ended() && jobs.isOver(t.job())) {
        kills.add(order("kill", t.name(), t.number(), 0));
      }
    }
    return kills;
  }

  /** Kills an attempt, by direct commands and again with each report's answer. */
  void kill(Attempt a, double graceS) {
    if (a.killMicros == 0) {
      a.killMicros = nowMicros;
      tracer.killed(a.traceId());
      LOG.info("kill {} grace {} s term {}", a, graceS, membership.term(a.slice().shard()));
    }
    a.graceS = graceS;
    taskKiller.add(a);
  }

  static Map<String, Object> order(String verb, String name, long number, double graceS) {
    Map<String, Object> order = new LinkedHashMap<>();
    order.put("verb", verb);
    order.put("strand", name);
    order.put("try", number);
    if (verb.equals("kill")) {
      order.put("windDownS", graceS);
    }
    return order;
  }

  /** Whether a machine has nothing on it but replicas at work. */
  public boolean quiet(Worker worker) {
    if (worker.recallAtMicros() != 0) {
      return false;
    }
    for (Attempt a : worker.attempts().values()) {
      Job job = jobs.active(a.slice().job());
      if (job == null
          || job.spec().shape() != Shape.SERVICE
          || a.closed
          || a.killed()
          || a.seen != Attempt.Seen.RUNNING) {
        return false;
      }
    }
    return true;
  }

  /** Takes a report in and says what the worker is to do. */
  public List<Map<String, Object>> orders(Worker worker, Report report) {
    int shard = worker.shard();
    // A report from before our term may be an old one that was held up on its way. What it lists
    // as ended has ended; what it leaves out may have been started since.
    boolean fresh = report.token() >= membership.term(shard);
    worker.judgeHearing(nowMicros, settings.workers().leaseMicros() + HEARING_MICROS);
    List<Map<String, Object>> reaps = new ArrayList<>();
    List<Map<String, Object>> kills = new ArrayList<>();
    List<Map<String, Object>> runs = new ArrayList<>();
    Set<String> listed = new HashSet<>();
    for (Report.Task t : report.tasks()) {
      Attempt a = worker.attempts().get(t.name());
      boolean ours = a != null && a.number() == t.number() && a.slice().shard() == shard;
      if (ours) {
        listed.add(t.name());
      }
      if (!ours) {
        if (t.ended()) {
          reaps.add(order("reap", t.name(), t.number(), 0));
        } else {
          kills.add(order("kill", t.name(), t.number(), 0));
        }
      } else if (a.closed) {
        // Given up, and its end not committed yet: it must not go on here meanwhile.
        if (!t.ended()) {
          kills.add(order("kill", t.name(), t.number(), 0));
        }
      } else {
        if (t.ended()) {
          ended(worker, a, t.cause());
        } else {
          seen(worker, a, t.phase());
          if (!a.killed() && jobs.active(a.slice().job()) == null) {
            // Its job was withdrawn while nobody owned the shard, or before we did.
            a.overdue = true;
            kill(a, 0);
          }
          if (a.killed()) {
            kills.add(order("kill", t.name(), t.number(), a.graceLeftS(nowMicros)));
          }
        }
      }
    }
    for (Attempt a : List.copyOf(worker.attempts().values())) {
      if (a.slice().shard() != shard || a.closed || !a.committed || listed.contains(a.name())) {
        continue;
      }
      boolean wanted = !a.killed() && jobs.active(a.slice().job()) != null;
      if (a.sentTenure != 0 && report.after(a.sentTenure, a.sentTick)) {
        // The answer to that report was taken in before this one was sent, or never will be.
        a.missed++;
      }
      if (a.seen != Attempt.Seen.NOT_YET || !wanted) {
        if (fresh || !a.sent) {
          gone(a, "no longer reported");
        }
      } else if (a.missed >= MOST_MISSED && fresh) {
        // Its reports come, and our answers don't get there: it must not wait here for ever.
        worker.doesNotHear(nowMicros);
        gone(a, "never taken up");
      } else if (membership.permits(OrderKind.START, shard)) {
        a.sent = true;
        a.sentTenure = report.tenure();
        a.sentTick = report.tick();
        tracer.ordered(a.traceId());
        runs.add(order("run", a.name(), a.number(), 0));
      }
    }
    List<Map<String, Object>> orders = new ArrayList<>(reaps);
    orders.addAll(kills);
    orders.addAll(runs);
    return orders;
  }

  /** A machine has begun anew: what it doesn't list is gone with its former life. */
  public void restarted(Worker worker, Report now) {
    Set<String> listed = new HashSet<>();
    now.tasks().forEach(t -> listed.add(t.name()));
    for (Attempt a : List.copyOf(worker.attempts().values())) {
      boolean ours = membership.owned().contains(a.slice().shard());
      if (ours && a.sent && a.committed && !a.closed && !listed.contains(a.name())) {
        gone(a, "machine begun anew");
      }
    }
  }

  private void seen(Worker worker, Attempt a, String phase) {
    a.sent = true;
    Attempt.Seen before = a.seen;
    if (a.seen == Attempt.Seen.NOT_YET && a.sentTenure != 0) {
      worker.hears();
    }
    switch (phase) {
      case "fetching" -> a.seen = Attempt.Seen.FETCHING;
      case "waiting" -> a.seen = Attempt.Seen.WAITING;
      case "saving" -> a.seen = Attempt.Seen.SAVING;
      default -> {
        a.seen = Attempt.Seen.RUNNING;
        if (a.runningSinceMicros == 0) {
          a.runningSinceMicros = nowMicros;
        }
      }
    }
    if (a.seen != before) {
      tracer.reported(a.traceId(), phase);
    }
    Job job = jobs.active(a.slice().job());
    if (a.seen != Attempt.Seen.FETCHING && job != null) {
      worker.hasImage(job.spec().image(), job.spec().imageGb(), types.cacheGb(worker.type()));
    }
  }

  private void ended(Worker worker, Attempt a, String cause) {
    LOG.info("ended {}: {}", a, cause);
    tracer.ended(a.traceId(), cause);
    Slice s = a.slice();
    switch (cause) {
      case "done" -> {
        a.finished = true;
        Job job = jobs.active(s.job());
        s.finish(a.task(), job);
        if (job != null && a.runningSinceMicros != 0 && !a.rebuilt) {
          estimates.finished(job.spec(), nowMicros - a.runningSinceMicros);
        }
        s.failures = 0;
        worker.errors = 0;
      }
      case "error" -> failed(worker, s);
      case "no_room", "busy" -> worker.restUntilMicros = nowMicros + 2_000_000;
      case "no_such" -> s.restUntilMicros = nowMicros + 3_000_000;
      default -> {}
    }
    close(a);
  }

  private void failed(Worker worker, Slice s) {
    s.failures++;
    s.restUntilMicros = nowMicros + Math.min(60_000_000L, 500_000L << Math.min(7, s.failures));
    worker.errors++;
    if (!worker.lastErrorJob.equals(s.job()) && worker.errors > 1) {
      // Failures of more than one job in a row speak against the machine.
      worker.errors += 1;
    }
    worker.lastErrorJob = s.job();
    worker.restUntilMicros = nowMicros + Math.min(30_000_000L, 1_000_000L << worker.errors);
  }

  private void gone(Attempt a, String why) {
    LOG.info("gone {}: {}", a, why);
    tracer.ended(a.traceId(), why);
    close(a);
  }

  private void close(Attempt a) {
    a.closed = true;
    Slice s = a.slice();
    s.outChanged();
    Job job = jobs.active(s.job());
    if (job != null && job.spec().shape() == Shape.GANG && !a.finished) {
      for (Attempt other : s.out.values()) {
        if (!other.closed && !other.killed()) {
          kill(other, 0);
        }
      }
    }
    recordWriter.changed(s);
    changed = true;
  }

  /** A machine was released or its lease has surely lapsed: nothing is on it any more. */
  public void machineGone(String host, String why) {
    Worker w = workers.get(host);
    if (w == null) {
      return;
    }
    for (Attempt a : List.copyOf(w.attempts().values())) {
      if (!a.closed && a.committed && membership.owned().contains(a.slice().shard())) {
        gone(a, why);
      }
    }
  }

  private void lapses(int shard) {
    long caredUntil = membership.delegatedUntilMicros(shard);
    long lease = membership.times().lapsedAfterMicros();
    for (Slice s : List.copyOf(slices.of(shard))) {
      for (Attempt a : List.copyOf(s.out.values())) {
        if (a.closed || !a.committed) {
          continue;
        }
        Worker w = workers.get(a.host());
        if (w == null || !w.entered()) {
          // The key goes only after the cloud has confirmed the release.
          gone(a, "machine released");
          continue;
        }
        // An attempt younger than a lease can't have lapsed: on a new machine, whose first report
        // waits for its answer, nothing has been answered yet.
        long since =
            Math.max(
                Math.max(w.answeredMicros(), a.decidedMicros()), membership.sinceMicros(shard));
        if (nowMicros - Math.max(since, caredUntil) > lease) {
          a.lapsed = true;
          a.delegationStamp = membership.delegationStamp(shard);
          gone(a, "lease lapsed");
        }
      }
    }
  }

  /** Whether most of a shard's workers that have reported here have ceased to. */
  public boolean silent(int shard) {
    int all = 0;
    int silent = 0;
    for (Worker w : workers.of(shard)) {
      if (w.report() != null) {
        all++;
        silent += nowMicros - w.reportMicros() > 2 * settings.workers().reportMicros() ? 1 : 0;
      }
    }
    return silent * 2 > all;
  }

  /** Marks jobs done whose every task is done in committed records. */
  private void finals() {
    for (Job job : List.copyOf(jobs.active())) {
      if (mayFinish(job) && savedDone(job).cardinality() >= job.tasks()) {
        finish(job, Job.done(job.tasks(), wallMicros), "done");
      }
    }
    for (Job job : jobs.withdrawnThroughOthers()) {
      if (mayFinish(job)) {
        finish(job, Job.withdrawn(job.tasks()), "withdrawn with one that it needs");
      }
    }
  }

  private boolean mayFinish(Job job) {
    return membership.permits(OrderKind.RECORD, job.home()) && !finishing.contains(job.id());
  }

  /** Commits a job's final record. */
  private void finish(Job job, Map<String, Object> record, String how) {
    finishing.add(job.id());
    String key = Job.key(job.id());
    recordWriter.add(
        new RecordWriter.KeyChange(
            job.home(),
            Write.put(key, record),
            Map.of(key, job.stamp()),
            ok -> {
              finishing.remove(job.id());
              if (ok) {
                LOG.info("job {} {}", job.id(), how);
              }
            }));
  }

  /** The tasks that are done by committed records: each counts once, whoever has it. */
  private BitSet savedDone(Job job) {
    BitSet done = new BitSet();
    slices.of(job.id()).forEach(s -> done.or(s.savedDone()));
    return done;
  }

  /** Done tasks and tasks handed out, for display. */
  public int[] counts(Job job) {
    int running = 0;
    for (Slice s : slices.of(job.id())) {
      running += s.live();
    }
    return new int[] {savedDone(job).cardinality(), running};
  }
}
