package gladeknot.connectivity;

/** A condition that must hold for an action to be taken. */
public enum Requirement {
  /** The shard is owned, not being handed over, and the state lease surely holds. */
  LEASE("the state lease does not hold, or the shard is not ours"),
  /** No transaction for the shard is without an answer. */
  SETTLED("a transaction got no answer, and has not been read back"),
  /** The watch cache is loaded. */
  LOADED("the state is not read yet"),
  /** The watch cache is recent enough to show every cancellation that matters. */
  FRESH_COPY("the copy of the state is too old"),
  /** Both directions of the link to the state service can be relied on, and it serves. */
  STATE_LINK("the state service can't be reached");

  private final String missing;

  Requirement(String missing) {
    this.missing = missing;
  }

  /** The text for users and operators when it does not hold. */
  public String missing() {
    return missing;
  }
}
