package gladeknot.connectivity;

/** What can work or fail on a link, each on its own. */
public enum Direction {
  /** What this controller sends arrives. */
  OUTBOUND,
  /** What the other side sends arrives here. */
  INBOUND,
  /** What arrives at the other side is served and not refused. */
  SERVICE;

  /** The word for logs, answers and the operators' listener. */
  public String word() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
