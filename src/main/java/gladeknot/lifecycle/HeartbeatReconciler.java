package gladeknot.lifecycle;

import gladeknot.connectivity.ControlAction;
import gladeknot.jobs.JobRegistry;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import gladeknot.tasks.Attempt;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerCommand;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reconciles the tasks that a worker's heartbeat lists with the attempts that records assign to the
 * worker, and decides which commands the answer carries.
 */
final class HeartbeatReconciler {
  /**
   * Margin added to a worker's lease, in microseconds. An incarnation that lasts longer than the
   * lease and this margin has received an answer.
   */
  private static final long LEASE_MARGIN_MICROS = 3_000_000;

  /** Number of unacknowledged run commands after which a task is started on another worker. */
  private static final int MAX_UNACKNOWLEDGED_RUNS = 2;

  private final Membership membership;
  private final JobRegistry jobs;
  private final AttemptTracker attempts;
  private final long maxUnansweredMicros;
  private RestartLimit restartLimit = RestartLimit.NONE;

  HeartbeatReconciler(
      Settings settings, Membership membership, JobRegistry jobs, AttemptTracker attempts) {
    this.membership = membership;
    this.jobs = jobs;
    this.attempts = attempts;
    this.maxUnansweredMicros = settings.workers().leaseMicros() + LEASE_MARGIN_MICROS;
  }

  void setRestartLimit(RestartLimit limit) {
    restartLimit = limit;
  }

  /**
   * Returns the commands for a worker: purges, then kills, then runs. Commands of one kind are in
   * the order of the heartbeat's list and of the worker's attempts.
   */
  List<WorkerCommand> reconcile(Worker worker, Heartbeat heartbeat) {
    Reconciliation reconciliation = new Reconciliation(worker, heartbeat);
    worker.updateReachability(attempts.nowMicros(), maxUnansweredMicros);
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      reconciliation.reconcileListed(status);
    }
    for (Attempt attempt : List.copyOf(worker.attempts().values())) {
      reconciliation.reconcileUnlisted(attempt);
    }
    return reconciliation.commands();
  }

  /** The reconciliation of one heartbeat. */
  private final class Reconciliation {
    private final Worker worker;
    private final Heartbeat heartbeat;
    private final int shard;

    /**
     * True if the heartbeat was sent under this controller's term and after the machine's last
     * restart. Any other heartbeat may have been delayed: an attempt that it lists as ended has
     * ended, unless its run command was sent since, and an attempt that it doesn't list may have
     * started since.
     */
    private final boolean ofCurrentTerm;

    private final Set<String> listed = new HashSet<>();
    private final List<WorkerCommand> purges = new ArrayList<>();

    /** Purges that wait until no copy of the attempt's run command can arrive, by task. */
    private final Map<String, WorkerCommand> withheldPurges = new HashMap<>();

    private final List<WorkerCommand> kills = new ArrayList<>();
    private final List<WorkerCommand> runs = new ArrayList<>();

    Reconciliation(Worker worker, Heartbeat heartbeat) {
      this.worker = worker;
      this.heartbeat = heartbeat;
      this.shard = worker.shard();
      this.ofCurrentTerm =
          heartbeat.fencingToken() >= membership.term(shard)
              && !worker.mayPrecedeRestart(heartbeat);
    }

    void reconcileListed(Heartbeat.TaskStatus status) {
      Attempt attempt = worker.attempts().get(status.name());
      boolean assigned =
          attempt != null
              && attempt.number() == status.attempt()
              && attempt.slice().shard() == shard;
      if (!assigned) {
        reconcileUnassigned(status);
        return;
      }
      listed.add(status.name());
      if (attempt.closed()) {
        killIfNotEnded(status);
      } else if (status.ended()) {
        if (ofCurrentTerm || attempt.runSentIncarnation() == 0) {
          attempts.onEnded(worker, attempt, status);
        }
      } else {
        attempts.onObserved(worker, attempt, status);
        reconcileLive(attempt);
      }
    }

    private void reconcileUnassigned(Heartbeat.TaskStatus status) {
      if (status.ended()) {
        purge(status);
      } else {
        kills.add(WorkerCommand.Kill.immediately(status.name(), status.attempt()));
      }
    }

    private void purge(Heartbeat.TaskStatus status) {
      WorkerCommand purge = new WorkerCommand.Purge(status.name(), status.attempt());
      if (worker.recentRuns().mayArrive(status.name(), status.attempt(), attempts.nowMicros())) {
        withheldPurges.put(status.name(), purge);
      } else {
        purges.add(purge);
      }
    }

    /**
     * Kills a closed attempt that still runs: the task must not keep running until its end is
     * committed.
     */
    private void killIfNotEnded(Heartbeat.TaskStatus status) {
      if (!status.ended()) {
        kills.add(WorkerCommand.Kill.immediately(status.name(), status.attempt()));
      }
    }

    private void reconcileLive(Attempt attempt) {
      if (!attempt.killRequested() && jobs.active(attempt.slice().job()) == null) {
        // The job was cancelled while the shard had no owner or another owner.
        attempts.killForFinishedJob(attempt);
      }
      if (attempt.killRequested()) {
        kills.add(
            new WorkerCommand.Kill(
                attempt.name(),
                attempt.number(),
                attempt.remainingGraceSeconds(attempts.nowMicros())));
      }
    }

    void reconcileUnlisted(Attempt attempt) {
      if (attempt.slice().shard() != shard
          || attempt.closed()
          || !attempt.committed()
          || listed.contains(attempt.name())) {
        return;
      }
      if (attempt.runSentIncarnation() != 0
          && heartbeat.isNewerThan(attempt.runSentIncarnation(), attempt.runSentSequence())) {
        // The worker processed the answer with the run command before this heartbeat, or never
        // will.
        attempt.countUnacknowledgedRun();
      }
      boolean shouldRun = !attempt.killRequested() && jobs.active(attempt.slice().job()) != null;
      if (attempt.observedPhase() != Attempt.ObservedPhase.NOT_OBSERVED || !shouldRun) {
        if (ofCurrentTerm || !attempt.runSent()) {
          attempts.onLost(attempt, LossReason.NOT_REPORTED);
        }
      } else if (attempt.unacknowledgedRuns() >= MAX_UNACKNOWLEDGED_RUNS && ofCurrentTerm) {
        // The worker's heartbeats arrive, but answers don't reach it. The task must not wait
        // forever.
        worker.markUnreachable(attempts.nowMicros());
        attempts.onLost(attempt, LossReason.RUN_UNACKNOWLEDGED);
      } else if (isWithheld(attempt)) {
        if (ofCurrentTerm) {
          // An earlier term's run command can't reach the worker, and this term has sent none.
          attempts.onLost(attempt, LossReason.SHARE_EXCEEDED);
        }
      } else if (membership.permits(ControlAction.SEND_RUN, shard)) {
        attempts.recordRunSent(worker, attempt, heartbeat);
        runs.add(new WorkerCommand.Run(attempt.name(), attempt.number()));
        makeWayFor(attempt);
      }
    }

    /**
     * Has an ended attempt of the same task purged, because a worker refuses a task that it has
     * with another attempt. For the same reason, no copy can start the ended attempt again.
     */
    private void makeWayFor(Attempt attempt) {
      WorkerCommand purge = withheldPurges.remove(attempt.name());
      if (purge != null) {
        purges.add(purge);
      }
    }

    /**
     * Returns whether an attempt's run command is withheld because the shard's share is exceeded.
     * This applies to starts that a former owner committed and whose run command this controller
     * has not sent.
     */
    private boolean isWithheld(Attempt attempt) {
      return attempt.recovered()
          && attempt.runSentIncarnation() == 0
          && restartLimit.withholds(attempt.slice().team(), shard);
    }

    List<WorkerCommand> commands() {
      List<WorkerCommand> commands = new ArrayList<>(purges);
      commands.addAll(kills);
      commands.addAll(runs);
      return commands;
    }
  }
}
