package gladeknot.connectivity;

import static gladeknot.connectivity.Requirement.CACHE_FRESH;
import static gladeknot.connectivity.Requirement.CACHE_LOADED;
import static gladeknot.connectivity.Requirement.LEASE;
import static gladeknot.connectivity.Requirement.SETTLED;
import static gladeknot.connectivity.Requirement.STATE_LINK;

/**
 * The kinds of action that a controller takes for a shard, each with its requirements. This is the
 * only table of authority; {@link Authority#permits} is the only place that reads it.
 *
 * <p>Actions that keep running tasks alive or end cancelled ones depend on leases alone. The state
 * of links can only forbid new actions.
 */
public enum ControlAction {
  /** Sending a committed start to a worker. */
  SEND_RUN(LEASE, CACHE_FRESH, STATE_LINK),
  /** Deciding starts and claims, and committing them. */
  SCHEDULE(LEASE, SETTLED, CACHE_LOADED, STATE_LINK),
  /** Committing past events: ends, lost attempts, final phases, segment migration. */
  COMMIT(LEASE, SETTLED, CACHE_LOADED),
  /** Stopping a task to preempt it or to drain a machine. */
  KILL(LEASE),
  /** Stopping a task whose job is in a final phase: correct whichever node owns the shard. */
  KILL_CANCELLED(),
  /** Removing an ended task whose end is committed. */
  PURGE(LEASE),
  /** Answering a heartbeat, which renews the worker's lease. */
  RENEW_LEASE(LEASE),
  /** Scaling out, and registering machines. */
  SCALE_OUT(LEASE, SETTLED, CACHE_LOADED, STATE_LINK),
  /** Scaling in, or transferring machines to another shard. */
  SCALE_IN(LEASE, SETTLED, CACHE_LOADED, STATE_LINK),
  /** Changing a team's quota. */
  CHANGE_QUOTA(LEASE, SETTLED, CACHE_LOADED, STATE_LINK),
  /** Taking over a shard, handing it over, or assigning it a new term. */
  TRANSFER_SHARD(STATE_LINK),
  /** Answers to users that are not final; final answers have no requirement. */
  ANSWER_USER(STATE_LINK);

  private final Requirement[] requirements;

  ControlAction(Requirement... requirements) {
    this.requirements = requirements;
  }

  /** Returns the requirements in the order of evaluation; callers must not modify the array. */
  Requirement[] requirements() {
    return requirements;
  }
}
