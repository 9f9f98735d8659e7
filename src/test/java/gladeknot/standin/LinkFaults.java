package gladeknot.standin;

import java.util.HashSet;
import java.util.Set;

/**
 * Injected link faults of the simulated network: messages dropped in one direction of one link
 * (asymmetric partial partitions), and connections to the state service that are refused.
 */
public final class LinkFaults {
  /** A direction of a controller's link to the state service or to its workers. */
  public enum Direction {
    STATE_REQUESTS,
    STATE_ANSWERS,
    REPORTS,
    REPORT_ANSWERS,
    COMMANDS,
    COMMAND_ANSWERS
  }

  private record Link(int node, Direction direction) {}

  private record PeerLink(int from, int to) {}

  private final Set<Link> droppedDirections = new HashSet<>();
  private final Set<PeerLink> droppedPeers = new HashSet<>();
  private final Set<Integer> refusing = new HashSet<>();

  /** Drops all messages in one direction of a controller's link, or delivers them again. */
  public void setDropped(int node, Direction direction, boolean dropped) {
    if (dropped) {
      droppedDirections.add(new Link(node, direction));
    } else {
      droppedDirections.remove(new Link(node, direction));
    }
  }

  /** Drops all messages from one controller to another, or delivers them again. */
  public void setPeerDropped(int from, int to, boolean dropped) {
    if (dropped) {
      droppedPeers.add(new PeerLink(from, to));
    } else {
      droppedPeers.remove(new PeerLink(from, to));
    }
  }

  /** Refuses a controller's connections to the state service at once, or accepts them again. */
  public void setRefused(int node, boolean refused) {
    if (refused) {
      refusing.add(node);
    } else {
      refusing.remove(node);
    }
  }

  /** Removes all injected faults. */
  public void heal() {
    droppedDirections.clear();
    droppedPeers.clear();
    refusing.clear();
  }

  boolean drops(int node, Direction direction) {
    return droppedDirections.contains(new Link(node, direction));
  }

  boolean dropsPeer(int from, int to) {
    return droppedPeers.contains(new PeerLink(from, to));
  }

  boolean refuses(int node) {
    return refusing.contains(node);
  }
}
