package gladeknot.connectivity;

/**
 * A shard's authority in one word, for operators; what is allowed is {@link ControlAction}'s table.
 */
public enum AuthorityLevel {
  /** Every order may be given. */
  FULL("full"),
  /** Tasks are kept alive and ended, and nothing new is begun. */
  NO_NEW_ORDERS("no new orders"),
  /** Nothing may be done for the shard. */
  RELINQUISHED("relinquished");

  private final String word;

  AuthorityLevel(String word) {
    this.word = word;
  }

  /** The words for logs and the operators' listener. */
  public String word() {
    return word;
  }
}
