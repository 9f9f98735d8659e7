package gladeknot.connectivity;

/** The parts of a link that can fail independently. */
public enum Direction {
  /** From this controller to the other side. */
  OUTBOUND,
  /** From the other side to this controller. */
  INBOUND,
  /** Processing at the other side: requests that arrive are served and not refused. */
  SERVICE;

  /** Returns the text for logs, answers and the operators' listener. */
  public String displayName() {
    return name().toLowerCase(java.util.Locale.ROOT);
  }
}
