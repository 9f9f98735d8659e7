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
 * of links only ever takes new orders away.
 */
public enum ControlAction {
  /** Sending a run that is committed. */
  SEND_RUN(LEASE, FRESH_COPY, STATE_LINK),
  /** Deciding starts and claims, and committing them. */
  SCHEDULE(LEASE, SETTLED, LOADED, STATE_LINK),
  /** Committing what has happened: ends, lapses, final states, records that move. */
  COMMIT(LEASE, SETTLED, LOADED),
  /** Stopping a task for another's sake or to drain a machine. */
  KILL(LEASE),
  /** Stopping a task whose job is over: wanted whoever acts for the shard. */
  KILL_CANCELLED(),
  /** Removing an ended task whose end is committed. */
  PURGE(LEASE),
  /** Answering a report, which renews the worker's lease. */
  RENEW_LEASE(LEASE),
  /** Renting machines and entering them. */
  SCALE_OUT(LEASE, SETTLED, LOADED, STATE_LINK),
  /** Giving machines back, or lending them to another shard. */
  SCALE_IN(LEASE, SETTLED, LOADED, STATE_LINK),
  /** Changing a team's budgets. */
  CHANGE_QUOTA(LEASE, SETTLED, LOADED, STATE_LINK),
  /** Taking a shard, giving it away, or making its key's stamp new. */
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
