package gladeknot.connectivity;

/** One thing that must hold for an order to be given. */
public enum Requirement {
  /** The shard is ours, not being given away, and our state lease surely holds. */
  LEASE("the state lease does not hold, or the shard is not ours"),
  /** No transaction for the shard is without an answer. */
  SETTLED("a transaction got no answer, and has not been read back"),
  /** The copy of the state has been read. */
  LOADED("the state is not read yet"),
  /** The copy is new enough to show every cancellation that matters. */
  FRESH_COPY("the copy of the state is too old"),
  /** Both directions of the link to the state service can be relied on, and it serves. */
  STATE_LINK("the state service can't be reached");

  private final String missing;

  Requirement(String missing) {
    this.missing = missing;
  }

  /** What to say when it does not hold. */
  public String missing() {
    return missing;
  }
}
