package gladeknot.connectivity;

/** Decides which actions are permitted for a shard, by the table in {@link ControlAction}. */
public final class Authority {
  /** The state of leases, transactions and the watch cache on which authority depends. */
  public interface ShardFacts {
    /**
     * Returns whether the shard is owned and not being handed over, and the state lease is certain
     * to be held still.
     */
    boolean leaseHolds(int shard);

    /** Returns whether the outcome of a transaction for the shard is unknown. */
    boolean inDoubt(int shard);

    /** Returns whether the watch cache is loaded. */
    boolean cacheLoaded();

    /** Returns whether the watch cache is recent enough to send run commands based on it. */
    boolean cacheFresh();
  }

  /** The verdict on the link to the state service. It can only take authority away. */
  public interface StateLink {
    /** Takes no authority away; used when links are not observed. */
    StateLink TRUSTED =
        new StateLink() {
          @Override
          public boolean usable() {
            return true;
          }

          @Override
          public String fault() {
            return "";
          }
        };

    /** Returns whether the state service is reachable in both directions and serves requests. */
    boolean usable();

    /** Describes the direction that fails and for how long; empty if none fails. */
    String fault();
  }

  /** The requirements of full authority other than the lease. */
  private static final Requirement[] REQUIREMENTS_BESIDES_LEASE = {
    Requirement.SETTLED, Requirement.CACHE_LOADED, Requirement.CACHE_FRESH, Requirement.STATE_LINK
  };

  private final ShardFacts facts;
  private final StateLink stateLink;

  /** Creates the authority based on the given facts. */
  public Authority(ShardFacts facts, StateLink stateLink) {
    this.facts = facts;
    this.stateLink = stateLink;
  }

  /** Returns whether an action of this kind may be taken for a shard. */
  public boolean permits(ControlAction kind, int shard) {
    for (Requirement requirement : kind.requirements()) {
      if (!isMet(requirement, shard)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the reason why users get only final answers; null if they get all answers. */
  public String refusal() {
    return stateLink.usable() ? null : describe(Requirement.STATE_LINK);
  }

  /** Returns the level of a shard's authority. */
  public AuthorityLevel level(int shard) {
    if (!isMet(Requirement.LEASE, shard)) {
      return AuthorityLevel.RELINQUISHED;
    }
    return unmet(shard) == null ? AuthorityLevel.FULL : AuthorityLevel.NO_NEW_ORDERS;
  }

  /** Describes what keeps a shard from full authority; empty if nothing does. */
  public String cause(int shard) {
    Requirement unmet = isMet(Requirement.LEASE, shard) ? unmet(shard) : Requirement.LEASE;
    return unmet == null ? "" : describe(unmet);
  }

  private Requirement unmet(int shard) {
    for (Requirement requirement : REQUIREMENTS_BESIDES_LEASE) {
      if (!isMet(requirement, shard)) {
        return requirement;
      }
    }
    return null;
  }

  private String describe(Requirement requirement) {
    String fault = stateLink.fault();
    boolean causedByLink = requirement != Requirement.CACHE_LOADED && !fault.isEmpty();
    return causedByLink ? requirement.unmetMessage() + ": " + fault : requirement.unmetMessage();
  }

  private boolean isMet(Requirement requirement, int shard) {
    return switch (requirement) {
      case LEASE -> facts.leaseHolds(shard);
      case SETTLED -> !facts.inDoubt(shard);
      case CACHE_LOADED -> facts.cacheLoaded();
      case CACHE_FRESH -> facts.cacheFresh();
      case STATE_LINK -> stateLink.usable();
    };
  }
}
