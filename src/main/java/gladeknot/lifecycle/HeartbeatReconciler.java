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
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Brings what a worker's heartbeat lists together with the attempts that records assign to the
 * worker, and decides which commands the answer carries.
 */
final class HeartbeatReconciler {
  /** Beyond a lease, how long an incarnation may last without an answer that arrived. */
  private static final long LEASE_MARGIN_MICROS = 3_000_000;

  /** After so many run commands that did not arrive, a task is started on another worker. */
  private static final int MAX_UNACKNOWLEDGED_RUNS = 2;

  private final Membership membership;
  private final JobRegistry jobs;
  private final AttemptTracker attempts;
  private final long reachabilityMicros;
  private RestartLimit restartLimit = RestartLimit.NONE;

  HeartbeatReconciler(
      Settings settings, Membership membership, JobRegistry jobs, AttemptTracker attempts) {
    this.membership = membership;
    this.jobs = jobs;
    this.attempts = attempts;
    this.reachabilityMicros = settings.workers().leaseMicros() + LEASE_MARGIN_MICROS;
  }

  void setRestartLimit(RestartLimit limit) {
    restartLimit = limit;
  }

  /** The commands for a worker: purges, then kills, then runs, each in the order of the lists. */
  List<WorkerCommand> reconcile(Worker worker, Heartbeat heartbeat) {
    Pass pass = new Pass(worker, heartbeat);
    worker.updateReachability(attempts.nowMicros(), reachabilityMicros);
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      pass.reconcileListed(status);
    }
    for (Attempt attempt : List.copyOf(worker.attempts().values())) {
      pass.reconcileUnlisted(attempt);
    }
    return pass.commands();
  }

  /** What one heartbeat leads to. */
  private final class Pass {
    private final Worker worker;
    private final Heartbeat heartbeat;
    private final int shard;

    /**
     * Whether the heartbeat was sent under this controller's term. One from before may have been
     * delayed: what it lists as ended has ended, but what it leaves out may have started since.
     */
    private final boolean ofThisTerm;

    private final Set<String> listed = new HashSet<>();
    private final List<WorkerCommand> purges = new ArrayList<>();
    private final List<WorkerCommand> kills = new ArrayList<>();
    private final List<WorkerCommand> runs = new ArrayList<>();

    Pass(Worker worker, Heartbeat heartbeat) {
      this.worker = worker;
      this.heartbeat = heartbeat;
      this.shard = worker.shard();
      this.ofThisTerm = heartbeat.fencingToken() >= membership.term(shard);
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
        attempts.ended(worker, attempt, status);
      } else {
        attempts.observed(worker, attempt, status);
        reconcileLive(attempt);
      }
    }

    private void reconcileUnassigned(Heartbeat.TaskStatus status) {
      if (status.ended()) {
        purges.add(new WorkerCommand.Purge(status.name(), status.attempt()));
      } else {
        kills.add(WorkerCommand.Kill.immediately(status.name(), status.attempt()));
      }
    }

    /** An attempt that counts as lost, with its end not committed, must not run on meanwhile. */
    private void killIfNotEnded(Heartbeat.TaskStatus status) {
      if (!status.ended()) {
        kills.add(WorkerCommand.Kill.immediately(status.name(), status.attempt()));
      }
    }

    private void reconcileLive(Attempt attempt) {
      if (!attempt.killRequested() && jobs.active(attempt.slice().job()) == null) {
        // Its job was cancelled while the shard had no owner, or another.
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
        // The answer with the run command was processed before this heartbeat, or never will be.
        attempt.countUnacknowledgedRun();
      }
      boolean wanted = !attempt.killRequested() && jobs.active(attempt.slice().job()) != null;
      if (attempt.observedPhase() != Attempt.ObservedPhase.NOT_OBSERVED || !wanted) {
        if (ofThisTerm || !attempt.runSent()) {
          attempts.lost(attempt, LossReason.NOT_REPORTED);
        }
      } else if (attempt.unacknowledgedRuns() >= MAX_UNACKNOWLEDGED_RUNS && ofThisTerm) {
        // Heartbeats arrive here, but answers don't arrive there: it must not wait for ever.
        worker.markUnreachable(attempts.nowMicros());
        attempts.lost(attempt, LossReason.RUN_UNACKNOWLEDGED);
      } else if (isWithheld(attempt)) {
        if (ofThisTerm) {
          // No earlier run command reaches the worker any more, and none was sent in this term.
          attempts.lost(attempt, LossReason.SHARE_EXCEEDED);
        }
      } else if (membership.permits(ControlAction.SEND_RUN, shard)) {
        attempts.runSent(attempt, heartbeat);
        runs.add(new WorkerCommand.Run(attempt.name(), attempt.number()));
      }
    }

    /** Whether a start of a former owner, not repeated yet, would exceed the shard's share. */
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
