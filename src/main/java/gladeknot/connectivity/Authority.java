package gladeknot.connectivity;

/** Decides what may be done for a shard now, by {@link ControlAction}'s table. */
public final class Authority {
  /** What leases, transactions and the watch cache show of a shard. */
  public interface ShardFacts {
    /** Whether the shard is owned, not being handed over, and the state lease surely holds. */
    boolean leaseHolds(int shard);

    /** Whether the outcome of a transaction for the shard is unknown. */
    boolean inDoubt(int shard);

    /** Whether the watch cache is loaded. */
    boolean cacheLoaded();

    /** Whether the watch cache is recent enough for runs to be sent by it. */
    boolean cacheFresh();
  }

  /** The verdict on the link to the state service; it can only take authority away. */
  public interface StateLink {
    /** Without knowledge of links no authority is taken away. */
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

    /** Whether the state service can be reached in both directions, and serves. */
    boolean usable();

    /** The direction that fails and since when, in words; empty if none does. */
    String fault();
  }

  /** What full authority needs besides the lease. */
  private static final Requirement[] BESIDES_LEASE = {
    Requirement.SETTLED, Requirement.LOADED, Requirement.FRESH_COPY, Requirement.STATE_LINK
  };

  private final ShardFacts facts;
  private final StateLink stateLink;

  /** Authority by the given facts. */
  public Authority(ShardFacts facts, StateLink stateLink) {
    this.facts = facts;
    this.stateLink = stateLink;
  }

  /** Whether an action of this kind may be taken for a shard. */
  public boolean permits(ControlAction kind, int shard) {
    for (Requirement requirement : kind.requirements()) {
      if (!holds(requirement, shard)) {
        return false;
      }
    }
    return true;
  }

  /** Why users get no answer that is not final; null if they get one. */
  public String refusal() {
    return stateLink.usable() ? null : describe(Requirement.STATE_LINK);
  }

  /** A shard's authority as a whole. */
  public AuthorityLevel level(int shard) {
    if (!holds(Requirement.LEASE, shard)) {
      return AuthorityLevel.RELINQUISHED;
    }
    return missing(shard) == null ? AuthorityLevel.FULL : AuthorityLevel.NO_NEW_ORDERS;
  }

  /** What keeps a shard from full authority, in words; empty if nothing does. */
  public String cause(int shard) {
    Requirement missing = holds(Requirement.LEASE, shard) ? missing(shard) : Requirement.LEASE;
    return missing == null ? "" : describe(missing);
  }

  private Requirement missing(int shard) {
    for (Requirement requirement : BESIDES_LEASE) {
      if (!holds(requirement, shard)) {
        return requirement;
      }
    }
    return null;
  }

  private String describe(Requirement requirement) {
    String fault = stateLink.fault();
    boolean byLink = requirement != Requirement.LOADED && !fault.isEmpty();
    return byLink ? requirement.missing() + ": " + fault : requirement.missing();
  }

  private boolean holds(Requirement requirement, int shard) {
    return switch (requirement) {
      case LEASE -> facts.leaseHolds(shard);
      case SETTLED -> !facts.inDoubt(shard);
      case LOADED -> facts.cacheLoaded();
      case FRESH_COPY -> facts.cacheFresh();
      case STATE_LINK -> stateLink.usable();
    };
  }
}
