package gladeknot.connectivity;

import java.util.Locale;

/** The verdict on one direction of a link. */
public enum Verdict {
  /** There is no evidence yet. */
  UNKNOWN,
  /** The last message that was due got through. */
  REACHABLE,
  /** A message has been overdue for longer than the suspect limit. */
  SUSPECT,
  /** A message has been overdue for so long that no new action may rely on this direction. */
  UNREACHABLE,
  /** The direction works again, but not for long enough yet. */
  PROBATION;

  /** Returns whether messages sent now may be relied on to arrive. */
  public boolean usable() {
    return this != UNREACHABLE;
  }

  /** Returns whether the direction has worked long enough to base a shard's failover on it. */
  public boolean steady() {
    return this == REACHABLE;
  }

  /** Returns the text for logs and the operators' listener. */
  public String displayName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
