package gladeknot.connectivity;

/**
 * A summary of a shard's authority for operators. The permitted actions themselves are in the table
 * of {@link ControlAction}.
 */
public enum AuthorityLevel {
  /** Every action is permitted. */
  FULL("full"),
  /** Running tasks are kept alive and can be ended; nothing new is started. */
  NO_NEW_ORDERS("no new orders"),
  /** No action that requires ownership of the shard is permitted. */
  RELINQUISHED("relinquished");

  private final String displayName;

  AuthorityLevel(String displayName) {
    this.displayName = displayName;
  }

  /** Returns the text for logs and the operators' listener. */
  public String displayName() {
    return displayName;
  }
}
