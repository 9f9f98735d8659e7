package gladeknot.workers;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.state.StateStore;
import java.util.HashMap;
import java.util.Map;

/**
 * Answers heartbeats of workers whose shard another controller owns: it redirects them to the
 * owner, and renews the leases of those that can't reach it, as the owner's delegate.
 */
final class RemoteHeartbeats {
  /** A worker that returns so soon after a redirect has not reached its owner. */
  private static final long RETURN_MICROS = 12_000_000;

  /** Handles a heartbeat from the start, as its shard was acquired meanwhile. */
  interface Readmission {
    /** Handles a heartbeat as if it had just arrived. */
    void admit(long request, Heartbeat heartbeat);
  }

  private final StateStore stateStore;
  private final Membership membership;
  private final HeartbeatHandler.Reconciler reconciler;
  private final HeartbeatAnswers answers;
  private final Readmission readmission;

  /** When each worker was last redirected, by its name. */
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

  /** Sets the time, and forgets redirects that are long ago. */
  void tick(long now) {
    nowMicros = now;
    if (now >= nextSweepMicros) {
      nextSweepMicros = now + RETURN_MICROS;
      redirectedMicros.values().removeIf(at -> now - at > RETURN_MICROS);
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
    // It was redirected to its owner and has returned: its lease is renewed here for a while, so
    // that its tasks survive a restart, or a partition that leads to a failover.
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

  /** Returns whether the worker was redirected a short while ago already. */
  private boolean recordRedirect(String host) {
    Long before = redirectedMicros.put(host, nowMicros);
    return before != null && nowMicros - before < RETURN_MICROS;
  }

  /**
   * Renews a worker's lease in the owner's place. The read barrier comes after the heartbeat: if
   * the shard has changed owners since the heartbeat was sent, that shows, and so does each
   * cancellation committed by then. Tasks of finished jobs are killed, so that no delegation,
   * however many follow one another, keeps a cancelled task beyond its time; other commands are the
   * owner's alone.
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
        () -> answers.refuse(request, HeartbeatAnswers.Refusal.STATE_STORE_UNREACHABLE));
  }
}
