package gladeknot.workers;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds heartbeats as long polls while there may soon be a run command for the worker. Run commands
 * are sent only in answers to heartbeats. A start that misses an answer waits for the next
 * heartbeat.
 */
final class LongPolls {
  /** Minimum time for which an answer waits for a start that is being decided or committed. */
  private static final long MIN_COMMIT_WAIT_MICROS = 400_000;

  /**
   * Maximum time for which an answer waits for a start that is being decided or committed. It is
   * far below a worker's timeout for an answer.
   */
  private static final long MAX_COMMIT_WAIT_MICROS = 1_200_000;

  /**
   * Wait for a start that is being decided or committed, as a share of the heartbeat interval. It
   * scales with the interval because deciding and committing take longer in a large fleet.
   */
  private static final double COMMIT_WAIT_SHARE = 0.3;

  /**
   * Wait of the answer to a steady worker for a start that is not decided yet, as a share of the
   * heartbeat interval.
   */
  private static final double STEADY_WAIT_SHARE = 0.5;

  /**
   * Maximum time for which the answer to a steady worker waits for a start that is not decided yet.
   */
  private static final long MAX_STEADY_WAIT_MICROS = 2_000_000;

  /** Interval between checks of the held heartbeats, apart from {@link #release} after commits. */
  private static final long RELEASE_INTERVAL_MICROS = 40_000;

  /** A held heartbeat, which is answered at its deadline at the latest. */
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

  /**
   * Sets the current time and, once in each interval, answers held heartbeats that need not wait
   * any longer.
   */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (currentMicros >= nextReleaseMicros) {
      nextReleaseMicros = currentMicros + RELEASE_INTERVAL_MICROS;
      release();
    }
  }

  /**
   * Holds a heartbeat if its answer should wait. Returns whether the heartbeat is held.
   *
   * @param steady whether there are no commands for the worker and no task on it is about to end or
   *     to start
   */
  boolean hold(long request, Worker worker, Heartbeat heartbeat, boolean steady) {
    long steadyUntilMicros = steady ? nowMicros + steadyWaitMicros : 0;
    long deadlineMicros = Math.max(nowMicros, steadyUntilMicros) + commitWaitMicros;
    long round = reconciler.requestScheduling();
    HeldHeartbeat heldHeartbeat =
        new HeldHeartbeat(request, worker, heartbeat, round, deadlineMicros, steadyUntilMicros);
    if (isStartPending(heldHeartbeat) || nowMicros < steadyUntilMicros) {
      held.add(heldHeartbeat);
      return true;
    }
    return false;
  }

  /**
   * Answers held heartbeats that have reached their deadline or need not wait any longer, for
   * example because a commit has ended.
   */
  void release() {
    if (held.isEmpty()) {
      return;
    }
    for (HeldHeartbeat heldHeartbeat : List.copyOf(held)) {
      if (nowMicros >= heldHeartbeat.deadlineMicros || !mustWait(heldHeartbeat)) {
        held.remove(heldHeartbeat);
        answer(heldHeartbeat);
      }
    }
  }

  private boolean mustWait(HeldHeartbeat heldHeartbeat) {
    return isStartPending(heldHeartbeat)
        || (nowMicros < heldHeartbeat.steadyUntilMicros
            && !heldHeartbeat.worker.hasCommandsToSend());
  }

  /** Returns whether a start on the worker may be about to be decided, or waits to be committed. */
  private boolean isStartPending(HeldHeartbeat heldHeartbeat) {
    boolean awaitsEnd = reconciler.awaitsEnd(heldHeartbeat.worker);
    if (heldHeartbeat.awaitedEnd && !awaitsEnd) {
      // The end is committed. The next scheduling round decides on the quota that it freed.
      heldHeartbeat.schedulingRound = reconciler.requestScheduling();
    }
    heldHeartbeat.awaitedEnd = awaitsEnd;
    return awaitsEnd
        || reconciler.completedRounds() < heldHeartbeat.schedulingRound
        || heldHeartbeat.worker.hasUncommittedStarts();
  }

  private void answer(HeldHeartbeat heldHeartbeat) {
    Worker worker = heldHeartbeat.worker;
    if (worker.heartbeat() == heldHeartbeat.heartbeat
        && membership.permits(ControlAction.RENEW_LEASE, worker.shard())) {
      List<WorkerCommand> commands = reconciler.reconcile(worker, heldHeartbeat.heartbeat);
      answers.accept(heldHeartbeat.request, worker, commands, nowMicros);
    } else {
      answers.refuse(heldHeartbeat.request, HeartbeatAnswers.Refusal.OWNER_CHANGING);
    }
  }
}
