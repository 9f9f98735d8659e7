package gladeknot.connectivity;

/** A condition that must hold for an action to be taken. */
public enum Requirement {
  /** The shard is owned and not being handed over, and the state lease is certain to be held. */
  LEASE("the state lease does not hold, or the shard is not ours"),
  /** The outcome of every transaction for the shard is known. */
  SETTLED("a transaction got no answer, and has not been read back"),
  /** The watch cache is loaded. */
  CACHE_LOADED("the state is not read yet"),
  /** The watch cache is recent enough to show every cancellation that matters. */
  CACHE_FRESH("the copy of the state is too old"),
  /** The state service is reachable in both directions and serves requests. */
  STATE_LINK("the state service can't be reached");

  private final String unmetMessage;

  Requirement(String unmetMessage) {
    this.unmetMessage = unmetMessage;
  }

  /** Returns the text for users and operators when the requirement is not met. */
  public String unmetMessage() {
    return unmetMessage;
  }
}
