package gladeknot.workers;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.state.StateStore;
import java.util.HashMap;
import java.util.Map;

/**
 * Answers heartbeats of workers whose shard another controller owns. Workers are redirected to the
 * owner. If a worker can't reach the owner, its lease is renewed here, as the owner's delegate.
 */
final class RemoteHeartbeats {
  /**
   * Time after a redirect within which a returning worker is taken to be unable to reach the owner.
   */
  private static final long RETURN_WINDOW_MICROS = 12_000_000;

  /** Handles heartbeats whose shard was acquired while they waited for an answer. */
  interface Readmission {
    /** Handles a heartbeat as if it had just arrived. */
    void admit(long request, Heartbeat heartbeat);
  }

  private final StateStore stateStore;
  private final Membership membership;
  private final HeartbeatHandler.Reconciler reconciler;
  private final HeartbeatAnswers answers;
  private final Readmission readmission;

  /** Time of each worker's last redirect, by the machine's name. */
  private final Map<String, Long> redirectedMicros = new HashMap<>();

  private long nextSweepMicros;
  private long nowMicros;

  RemoteHeartbeats(
      StateStore stateStore,
      Membership membership,
      HeartbeatHandler.Reconciler reconciler,
      HeartbeatAnswers answers,
      Readmission readmission) {
    this.stateStore = stateStore;
    this.membership = membership;
    this.reconciler = reconciler;
    this.answers = answers;
    this.readmission = readmission;
  }

  /** Sets the current time and forgets redirects that are older than the return window. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (currentMicros >= nextSweepMicros) {
      nextSweepMicros = currentMicros + RETURN_WINDOW_MICROS;
      redirectedMicros
          .values()
          .removeIf(redirected -> currentMicros - redirected > RETURN_WINDOW_MICROS);
    }
  }

  /** Answers a heartbeat of a worker of a shard that this controller does not own. */
  void answer(long request, Heartbeat heartbeat, int shard) {
    String owner = membership.liveOwner(shard).orElse(null);
    long term = membership.term(shard);
    if (owner == null) {
      answers.refuse(request, HeartbeatAnswers.Refusal.OWNER_CHANGING);
      return;
    }
    boolean returned = recordRedirect(heartbeat.host());
    if (!returned || heartbeat.fencingToken() != term || heartbeat.tasks().isEmpty()) {
      answers.redirect(request, owner);
      return;
    }
    // The worker was redirected to the owner and has returned. Its lease is renewed here for a
    // while, so that its tasks survive a restart of the owner, or a partition that leads to a
    // failover.
    if (membership.isDelegateFor(shard)) {
      answerAsDelegate(request, heartbeat, shard, term);
    } else {
      membership.becomeDelegate(
          shard,
          delegated -> {
            if (delegated) {
              answerAsDelegate(request, heartbeat, shard, term);
            } else {
              answers.redirect(request, owner);
            }
          });
    }
  }

  /** Records a redirect now. Returns whether the previous one is within the return window. */
  private boolean recordRedirect(String host) {
    Long previousMicros = redirectedMicros.put(host, nowMicros);
    return previousMicros != null && nowMicros - previousMicros < RETURN_WINDOW_MICROS;
  }

  /**
   * Renews a worker's lease on behalf of the owner. The read barrier comes after the heartbeat. The
   * cache then shows any ownership transfer since the heartbeat was sent, and every cancellation
   * committed before the barrier. Tasks of finished jobs are killed. Otherwise a series of
   * delegations could keep a cancelled task running beyond its allowed time. All other commands are
   * left to the owner.
   */
  private void answerAsDelegate(long request, Heartbeat heartbeat, int shard, long term) {
    stateStore.readBarrier(
        () -> {
          if (membership.permits(ControlAction.RENEW_LEASE, shard)) {
            readmission.admit(request, heartbeat);
          } else if (membership.term(shard) == term && membership.isDelegateFor(shard)) {
            answers.acceptAsDelegate(request, term, reconciler.killsForFinishedJobs(heartbeat));
          } else {
            answers.refuse(request, HeartbeatAnswers.Refusal.OWNER_CHANGING);
          }
        },
        () -> answers.refuse(request, HeartbeatAnswers.Refusal.STATE_SERVICE_UNREACHABLE));
  }
}
