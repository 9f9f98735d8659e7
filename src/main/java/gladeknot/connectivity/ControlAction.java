package gladeknot.connectivity;

import static gladeknot.connectivity.Requirement.FRESH_COPY;
import static gladeknot.connectivity.Requirement.LEASE;
import static gladeknot.connectivity.Requirement.LOADED;
import static gladeknot.connectivity.Requirement.SETTLED;
import static gladeknot.connectivity.Requirement.STATE_LINK;

/**
 * Everything that a controller may do for a shard, with what must hold for it: the one table of
 * authority. {@link Authority#permits} is the one place where it is looked up.
 *
 * <p>What keeps running tasks alive and what ends cancelled ones depends on leases alone; the state
 * of links only ever takes new actions away.
 */
public enum ControlAction {
  /** Sending a committed start to a worker. */
  SEND_RUN(LEASE, FRESH_COPY, STATE_LINK),
  /** Deciding starts and claims, and committing them. */
  SCHEDULE(LEASE, SETTLED, LOADED, STATE_LINK),
  /** Committing what has happened: ends, lost attempts, final states, segment migration. */
  COMMIT(LEASE, SETTLED, LOADED),
  /** Stopping a task to preempt it or to drain a machine. */
  KILL(LEASE),
  /** Stopping a task whose job is final: right whoever owns the shard. */
  KILL_CANCELLED(),
  /** Removing an ended task whose end is committed. */
  PURGE(LEASE),
  /** Answering a heartbeat, which renews the worker's lease. */
  RENEW_LEASE(LEASE),
  /** Scaling out, and registering machines. */
  SCALE_OUT(LEASE, SETTLED, LOADED, STATE_LINK),
  /** Scaling in, or transferring machines to another shard. */
  SCALE_IN(LEASE, SETTLED, LOADED, STATE_LINK),
  /** Changing a team's quota. */
  CHANGE_QUOTA(LEASE, SETTLED, LOADED, STATE_LINK),
  /** Taking a shard, handing it over, or drawing a new term for it. */
  TRANSFER_SHARD(STATE_LINK),
  /** Answers to users that are not final; final ones need nothing. */
  ANSWER_USER(STATE_LINK);

  private final Requirement[] requirements;

  ControlAction(Requirement... requirements) {
    this.requirements = requirements;
  }

  /** What must hold, in the order in which it is looked at; not to be changed. */
  Requirement[] requirements() {
    return requirements;
  }
}
