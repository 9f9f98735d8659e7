package gladeknot.lifecycle;

import gladeknot.commit.KeyMutation;
import gladeknot.commit.TransactionCommitter;
import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.Job;
import gladeknot.jobs.JobRecordCodec;
import gladeknot.jobs.JobRegistry;
import gladeknot.jobs.JobSpec.Shape;
import gladeknot.jobs.TaskCounts;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import gladeknot.state.Mutation;
import gladeknot.tasks.Attempt;
import gladeknot.tasks.RuntimeEstimates;
import gladeknot.tasks.Slice;
import gladeknot.tasks.SliceRegistry;
import gladeknot.tracing.TaskTracer;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerCommand;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows attempts from their commit to their end: runs, kills, reaps, lapses, final states. */
public final class TaskLifecycle {
  private static final Logger LOG = LoggerFactory.getLogger(TaskLifecycle.class);
  private static final long CHECK_MICROS = 250_000;

  /** Beyond a lease, what a session may last without an answer that was taken. */
  private static final long HEARING_MICROS = 3_000_000;

  /** After so many answers that a worker did not get, its tasks are started elsewhere. */
  private static final int MAX_MISSED = 2;

  private final Settings settings;
  private final Membership membership;
  private final JobRegistry jobs;
  private final SliceRegistry slices;
  private final WorkerRegistry workers;
  private final TransactionCommitter recordWriter;
  private final KillDispatcher taskKiller;
  private final ImageSizes types;
  private final TaskTracer tracer;
  private final RuntimeEstimates estimates = new RuntimeEstimates();
  private final SpotReclaims recalledMachines;
  private final Set<String> finishing = new HashSet<>();
  private long nowMicros;
  private long wallMicros;
  private long nextCheckMicros;
  private boolean schedulingNeeded;

  /** The image cache's size on a type of machine. */
  public interface ImageSizes {
    double cacheGb(String type);
  }

  /** A scheduler that knows of no attempts yet. */
  public TaskLifecycle(
      Settings settings,
      Membership membership,
      JobRegistry jobs,
      SliceRegistry slices,
      WorkerRegistry workers,
      TransactionCommitter recordWriter,
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
    this.taskKiller = new KillDispatcher(membership, workers, outbox);
    this.types = types;
    this.recalledMachines = new SpotReclaims(membership, jobs, workers, estimates);
  }

  /** Whether something happened since the last call that may let tasks be placed. */
  public boolean takeSchedulingNeeded() {
    boolean was = schedulingNeeded;
    schedulingNeeded = false;
    return was;
  }

  public boolean isSchedulingNeeded() {
    return schedulingNeeded;
  }

  public RuntimeEstimates estimates() {
    return estimates;
  }

  public void requestScheduling() {
    schedulingNeeded = true;
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
    for (int shard : membership.ownedShards()) {
      if (membership.permits(ControlAction.COMMIT, shard)) {
        lapses(shard);
        recalledMachines.drain(shard, now, this::kill);
      }
    }
    finals();
  }

  /** Takes a job's change in: what is over is stopped. */
  public void onJobChange(Job before, Job now) {
    String id = now != null ? now.id() : before.id();
    slices.jobChanged(id, now);
    schedulingNeeded = true;
    if (now != null && now.active()) {
      return;
    }
    finishing.remove(id);
    for (Slice s : slices.ofJob(id)) {
      if (membership.ownedShards().contains(s.shard())) {
        stopAll(s);
        recordWriter.markDirty(s);
      }
    }
  }

  /** A part of a shard's record has changed in the copy. */
  public void onSegmentChange(String key) {
    schedulingNeeded = true;
    recordWriter.refreshSegment(key);
  }

  private void stopAll(Slice s) {
    for (Attempt a : List.copyOf(s.attemptsByTask().values())) {
      if (!a.committed()) {
        slices.removeAttempt(a);
      } else if (!a.closed()) {
        a.markJobFinished();
        kill(a, 0);
      }
    }
  }

  /**
   * Another controller has committed that jobs are withdrawn, and our copy may not show it for a
   * while: what we have of them is stopped at once.
   */
  public void onCancelledElsewhere(List<String> ids) {
    for (String id : ids) {
      for (Slice s : slices.ofJob(id)) {
        if (membership.ownedShards().contains(s.shard())) {
          for (Attempt a : s.attemptsByTask().values()) {
            if (a.committed() && !a.closed()) {
              a.markJobFinished();
              kill(a, 0);
            }
          }
        }
      }
    }
  }

  /** Kills for what a report lists of jobs that are over by the copy. */
  public List<WorkerCommand> killsForFinishedJobs(Heartbeat report) {
    List<WorkerCommand> kills = new ArrayList<>();
    for (Heartbeat.TaskStatus t : report.tasks()) {
      if (!t.ended() && jobs.isFinished(t.job())) {
        kills.add(WorkerCommand.Kill.immediately(t.name(), t.attempt()));
      }
    }
    return kills;
  }

  /** Kills an attempt, by direct commands and again with each report's answer. */
  public void kill(Attempt a, double graceS) {
    if (a.requestKill(graceS, nowMicros)) {
      tracer.killed(a.traceId());
      LOG.info("kill {} grace {} s term {}", a, graceS, membership.term(a.slice().shard()));
    }
    taskKiller.add(a);
  }

  /** Whether a machine has nothing on it but replicas at work. */
  public boolean isSteady(Worker worker) {
    if (worker.reclaimAtMicros() != 0) {
      return false;
    }
    for (Attempt a : worker.attempts().values()) {
      Job job = jobs.active(a.slice().job());
      if (job == null
          || job.spec().shape() != Shape.SERVICE
          || a.closed()
          || a.killRequested()
          || a.observedPhase() != Attempt.ObservedPhase.RUNNING) {
        return false;
      }
    }
    return true;
  }

  /** Takes a report in and says what the worker is to do. */
  public List<WorkerCommand> reconcile(Worker worker, Heartbeat report) {
    int shard = worker.shard();
    // A report from before our term may be an old one that was held up on its way. What it lists
    // as ended has ended; what it leaves out may have been started since.
    boolean fresh = report.fencingToken() >= membership.term(shard);
    worker.updateReachability(nowMicros, settings.workers().leaseMicros() + HEARING_MICROS);
    List<WorkerCommand> reaps = new ArrayList<>();
    List<WorkerCommand> kills = new ArrayList<>();
    List<WorkerCommand> runs = new ArrayList<>();
    Set<String> listed = new HashSet<>();
    for (Heartbeat.TaskStatus t : report.tasks()) {
      Attempt a = worker.attempts().get(t.name());
      boolean ours = a != null && a.number() == t.attempt() && a.slice().shard() == shard;
      if (ours) {
        listed.add(t.name());
      }
      if (!ours) {
        if (t.ended()) {
          reaps.add(new WorkerCommand.Purge(t.name(), t.attempt()));
        } else {
          kills.add(WorkerCommand.Kill.immediately(t.name(), t.attempt()));
        }
      } else if (a.closed()) {
        // Given up, and its end not committed yet: it must not go on here meanwhile.
        if (!t.ended()) {
          kills.add(WorkerCommand.Kill.immediately(t.name(), t.attempt()));
        }
      } else {
        if (t.ended()) {
          ended(worker, a, t.cause());
        } else {
          seen(worker, a, t.phase());
          if (!a.killRequested() && jobs.active(a.slice().job()) == null) {
            // Its job was withdrawn while nobody owned the shard, or before we did.
            a.markJobFinished();
            kill(a, 0);
          }
          if (a.killRequested()) {
            kills.add(
                new WorkerCommand.Kill(t.name(), t.attempt(), a.remainingGraceSeconds(nowMicros)));
          }
        }
      }
    }
    for (Attempt a : List.copyOf(worker.attempts().values())) {
      if (a.slice().shard() != shard || a.closed() || !a.committed() || listed.contains(a.name())) {
        continue;
      }
      boolean wanted = !a.killRequested() && jobs.active(a.slice().job()) != null;
      if (a.runSentIncarnation() != 0
          && report.isNewerThan(a.runSentIncarnation(), a.runSentSequence())) {
        // The answer to that report was taken in before this one was sent, or never will be.
        a.countUnacknowledgedRun();
      }
      if (a.observedPhase() != Attempt.ObservedPhase.NOT_OBSERVED || !wanted) {
        if (fresh || !a.runSent()) {
          gone(a, "no longer reported");
        }
      } else if (a.unacknowledgedRuns() >= MAX_MISSED && fresh) {
        // Its reports come, and our answers don't get there: it must not wait here for ever.
        worker.markUnreachable(nowMicros);
        gone(a, "never taken up");
      } else if (membership.permits(ControlAction.SEND_RUN, shard)) {
        a.markRunSent(report.incarnation(), report.sequence());
        tracer.runSent(a.traceId());
        runs.add(new WorkerCommand.Run(a.name(), a.number()));
      }
    }
    List<WorkerCommand> orders = new ArrayList<>(reaps);
    orders.addAll(kills);
    orders.addAll(runs);
    return orders;
  }

  /** A machine has begun anew: what it doesn't list is gone with its former life. */
  public void onWorkerRestart(Worker worker, Heartbeat now) {
    Set<String> listed = new HashSet<>();
    now.tasks().forEach(t -> listed.add(t.name()));
    for (Attempt a : List.copyOf(worker.attempts().values())) {
      boolean ours = membership.ownedShards().contains(a.slice().shard());
      if (ours && a.runSent() && a.committed() && !a.closed() && !listed.contains(a.name())) {
        gone(a, "machine begun anew");
      }
    }
  }

  private void seen(Worker worker, Attempt a, String phase) {
    Attempt.ObservedPhase before = a.observedPhase();
    if (a.observedPhase() == Attempt.ObservedPhase.NOT_OBSERVED && a.runSentIncarnation() != 0) {
      worker.markReachable();
    }
    a.observe(observedPhase(phase), nowMicros);
    if (a.observedPhase() != before) {
      tracer.phaseObserved(a.traceId(), phase);
    }
    Job job = jobs.active(a.slice().job());
    if (a.observedPhase() != Attempt.ObservedPhase.FETCHING && job != null) {
      worker.cacheImage(job.spec().image(), job.spec().imageGb(), types.cacheGb(worker.type()));
    }
  }

  private static Attempt.ObservedPhase observedPhase(String phase) {
    return switch (phase) {
      case "fetching" -> Attempt.ObservedPhase.FETCHING;
      case "waiting" -> Attempt.ObservedPhase.WAITING;
      case "saving" -> Attempt.ObservedPhase.SAVING;
      default -> Attempt.ObservedPhase.RUNNING;
    };
  }

  private void ended(Worker worker, Attempt a, String cause) {
    LOG.info("ended {}: {}", a, cause);
    tracer.ended(a.traceId(), cause);
    Slice s = a.slice();
    switch (cause) {
      case "done" -> {
        a.markSucceeded();
        Job job = jobs.active(s.job());
        s.markDone(a.task(), job);
        if (job != null && a.runningSinceMicros() != 0 && !a.recovered()) {
          estimates.recordRun(job.spec(), nowMicros - a.runningSinceMicros());
        }
        s.resetFailures();
        worker.resetFailures();
      }
      case "error" -> failed(worker, s);
      case "no_room", "busy" -> worker.quarantineUntil(nowMicros + 2_000_000);
      case "no_such" -> s.backOffUntil(nowMicros + 3_000_000);
      default -> {}
    }
    close(a);
  }

  private void failed(Worker worker, Slice s) {
    int sliceFailures = s.countFailure();
    s.backOffUntil(nowMicros + Math.min(60_000_000L, 500_000L << Math.min(7, sliceFailures)));
    int workerFailures = worker.countFailure(s.job());
    worker.quarantineUntil(nowMicros + Math.min(30_000_000L, 1_000_000L << workerFailures));
  }

  private void gone(Attempt a, String why) {
    LOG.info("gone {}: {}", a, why);
    tracer.ended(a.traceId(), why);
    close(a);
  }

  private void close(Attempt a) {
    a.close();
    Slice s = a.slice();
    s.invalidateCounts();
    Job job = jobs.active(s.job());
    if (job != null && job.spec().shape() == Shape.GANG && !a.succeeded()) {
      for (Attempt other : s.attemptsByTask().values()) {
        if (!other.closed() && !other.killRequested()) {
          kill(other, 0);
        }
      }
    }
    recordWriter.markDirty(s);
    schedulingNeeded = true;
  }

  /** A machine was released or its lease has surely lapsed: nothing is on it any more. */
  public void onWorkerReleased(String host) {
    Worker w = workers.get(host);
    if (w == null) {
      return;
    }
    for (Attempt a : List.copyOf(w.attempts().values())) {
      if (!a.closed() && a.committed() && membership.ownedShards().contains(a.slice().shard())) {
        gone(a, "machine released");
      }
    }
  }

  private void lapses(int shard) {
    long caredUntil = membership.delegatedUntilMicros(shard);
    long lease = membership.times().expiredAfterMicros();
    for (Slice s : List.copyOf(slices.inShard(shard))) {
      for (Attempt a : List.copyOf(s.attemptsByTask().values())) {
        if (a.closed() || !a.committed()) {
          continue;
        }
        Worker w = workers.get(a.host());
        if (w == null || !w.registered()) {
          // The key goes only after the cloud has confirmed the release.
          gone(a, "machine released");
          continue;
        }
        // An attempt younger than a lease can't have lapsed: on a new machine, whose first report
        // waits for its answer, nothing has been answered yet.
        long since =
            Math.max(
                Math.max(w.answeredMicros(), a.decidedMicros()),
                membership.ownedSinceMicros(shard));
        if (nowMicros - Math.max(since, caredUntil) > lease) {
          a.expireLease(membership.delegationRevision(shard));
          gone(a, "lease lapsed");
        }
      }
    }
  }

  /** Whether most of a shard's workers that have reported here have ceased to. */
  public boolean mostWorkersTimedOut(int shard) {
    int all = 0;
    int silent = 0;
    for (Worker w : workers.inShard(shard)) {
      if (w.heartbeat() != null) {
        all++;
        silent +=
            nowMicros - w.heartbeatMicros() > 2 * settings.workers().heartbeatMicros() ? 1 : 0;
      }
    }
    return silent * 2 > all;
  }

  /** Marks jobs done whose every task is done in committed records. */
  private void finals() {
    for (Job job : List.copyOf(jobs.active())) {
      if (mayFinish(job) && savedDone(job).cardinality() >= job.tasks()) {
        finish(job, JobRecordCodec.encodeDone(job.tasks(), wallMicros), "done");
      }
    }
    for (Job job : jobs.cancelledByDependency()) {
      if (mayFinish(job)) {
        finish(
            job, JobRecordCodec.encodeCancelled(job.tasks()), "withdrawn with one that it needs");
      }
    }
  }

  private boolean mayFinish(Job job) {
    return membership.permits(ControlAction.COMMIT, job.home()) && !finishing.contains(job.id());
  }

  /** Commits a job's final record. */
  private void finish(Job job, Map<String, Object> record, String how) {
    finishing.add(job.id());
    String key = Job.key(job.id());
    recordWriter.submit(
        new KeyMutation(
            job.home(),
            Mutation.put(key, record),
            Map.of(key, job.modRevision()),
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
    slices.ofJob(job.id()).forEach(s -> done.or(s.committedDone()));
    return done;
  }

  /** Done tasks and tasks handed out, for display. */
  public TaskCounts taskCounts(Job job) {
    int running = 0;
    for (Slice s : slices.ofJob(job.id())) {
      running += s.liveCount();
    }
    return new TaskCounts(savedDone(job).cardinality(), running);
  }
}
