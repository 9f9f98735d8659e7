package gladeknot.connectivity;

import java.util.Locale;

/** What is concluded of one direction of a link. */
public enum Verdict {
  /** Nothing has been sent or received yet. */
  UNKNOWN,
  /** What was sent last got through. */
  REACHABLE,
  /** Something has been overdue for a while. */
  SUSPECT,
  /** Something has been overdue for so long that nothing new may rely on it. */
  UNREACHABLE,
  /** Works again, but not for long enough yet. */
  PROBATION;

  /** Whether what is sent now may be relied on to arrive. */
  public boolean usable() {
    return this != UNREACHABLE;
  }

  /** Whether it has worked for long enough to base the failover of a shard on it. */
  public boolean steady() {
    return this == REACHABLE;
  }

  /** The word for logs and the operators' listener. */
  public String word() {
    return name().toLowerCase(Locale.ROOT);
  }
}
