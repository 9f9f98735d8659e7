package gladeknot.workers;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds heartbeats whose answers may soon have a run command to carry. Run commands are sent in
 * answers alone, so that a start that misses an answer waits for the next heartbeat.
 */
final class LongPolls {
  /**
   * How long an answer waits for a start that is being decided or committed: at least, at most, and
   * between these as a share of the heartbeat interval, since both take longer in a large fleet.
   * Far below the time that a worker waits for an answer.
   */
  private static final long MIN_COMMIT_WAIT_MICROS = 400_000;

  private static final long MAX_COMMIT_WAIT_MICROS = 1_200_000;
  private static final double COMMIT_WAIT_SHARE = 0.3;

  /**
   * How long the answer to a steady worker waits for a start that is not even decided, as a share
   * of the heartbeat interval and at most.
   */
  private static final double STEADY_WAIT_SHARE = 0.5;

  private static final long MAX_STEADY_WAIT_MICROS = 2_000_000;

  /** How often held heartbeats are looked through, apart from {@link #release} after commits. */
  private static final long RELEASE_INTERVAL_MICROS = 40_000;

  /** A heartbeat that is held; it is answered at the deadline at the latest. */
  private static final class HeldHeartbeat {
    private final long request;
    private final Worker worker;
    private final Heartbeat heartbeat;
    private final long deadlineMicros;
    private final long steadyUntilMicros;
    private long schedulingRound;
    private boolean awaitedEnd;

    HeldHeartbeat(
        long request,
        Worker worker,
        Heartbeat heartbeat,
        long schedulingRound,
        long deadlineMicros,
        long steadyUntilMicros) {
      this.request = request;
      this.worker = worker;
      this.heartbeat = heartbeat;
      this.schedulingRound = schedulingRound;
      this.deadlineMicros = deadlineMicros;
      this.steadyUntilMicros = steadyUntilMicros;
    }
  }

  private final Membership membership;
  private final HeartbeatHandler.Reconciler reconciler;
  private final HeartbeatAnswers answers;
  private final long commitWaitMicros;
  private final long steadyWaitMicros;
  private final List<HeldHeartbeat> held = new ArrayList<>();
  private long nextReleaseMicros;
  private long nowMicros;

  LongPolls(
      Settings settings,
      Membership membership,
      HeartbeatHandler.Reconciler reconciler,
      HeartbeatAnswers answers) {
    long intervalMicros = settings.workers().heartbeatMicros();
    this.commitWaitMicros =
        Math.max(
            MIN_COMMIT_WAIT_MICROS,
            Math.min(MAX_COMMIT_WAIT_MICROS, (long) (intervalMicros * COMMIT_WAIT_SHARE)));
    this.steadyWaitMicros =
        Math.min(MAX_STEADY_WAIT_MICROS, (long) (intervalMicros * STEADY_WAIT_SHARE));
    this.membership = membership;
    this.reconciler = reconciler;
    this.answers = answers;
  }

  /** Sets the time, and answers now and then what can't wait any longer. */
  void tick(long now) {
    nowMicros = now;
    if (now >= nextReleaseMicros) {
      nextReleaseMicros = now + RELEASE_INTERVAL_MICROS;
      release();
    }
  }

  /**
   * Holds a heartbeat if its answer should wait; returns whether it does.
   *
   * @param steady whether there is nothing to command, and nothing is about to change on the worker
   */
  boolean hold(long request, Worker worker, Heartbeat heartbeat, boolean steady) {
    long steadyUntil = steady ? nowMicros + steadyWaitMicros : 0;
    long deadline = Math.max(nowMicros, steadyUntil) + commitWaitMicros;
    long round = reconciler.requestScheduling();
    HeldHeartbeat candidate =
        new HeldHeartbeat(request, worker, heartbeat, round, deadline, steadyUntil);
    if (startPending(candidate) || nowMicros < steadyUntil) {
      held.add(candidate);
      return true;
    }
    return false;
  }

  /** Answers what was held for a commit that has ended, or has waited long enough. */
  void release() {
    if (held.isEmpty()) {
      return;
    }
    for (HeldHeartbeat candidate : List.copyOf(held)) {
      if (nowMicros >= candidate.deadlineMicros || !mustWait(candidate)) {
        held.remove(candidate);
        answer(candidate);
      }
    }
  }

  private boolean mustWait(HeldHeartbeat candidate) {
    return startPending(candidate)
        || (nowMicros < candidate.steadyUntilMicros && !candidate.worker.hasCommandsToSend());
  }

  /** Whether a start for the worker may be under decision, or waits to be committed. */
  private boolean startPending(HeldHeartbeat candidate) {
    boolean awaitsEnd = reconciler.awaitsEnd(candidate.worker);
    if (candidate.awaitedEnd && !awaitsEnd) {
      // The end is committed: the next round decides on what it has made free.
      candidate.schedulingRound = reconciler.requestScheduling();
    }
    candidate.awaitedEnd = awaitsEnd;
    return awaitsEnd
        || reconciler.completedRounds() < candidate.schedulingRound
        || candidate.worker.hasUncommittedStarts();
  }

  private void answer(HeldHeartbeat released) {
    Worker worker = released.worker;
    if (worker.heartbeat() == released.heartbeat
        && membership.permits(ControlAction.RENEW_LEASE, worker.shard())) {
      List<WorkerCommand> commands = reconciler.reconcile(worker, released.heartbeat);
      answers.accept(released.request, worker, commands, nowMicros);
    } else {
      answers.refuse(released.request, HeartbeatAnswers.Refusal.OWNER_CHANGING);
    }
  }
}
