package gladeknot.standin;

import java.util.HashSet;
import java.util.Set;

/** Single directions of single links on which what is sent gets lost. */
public final class DirectionalCuts {
  /** A direction of a controller's link to a service or to the workers. */
  public enum Way {
    STATE_REQUESTS,
    STATE_ANSWERS,
    REPORTS,
    REPORT_ANSWERS,
    COMMANDS,
    COMMAND_ANSWERS
  }

  private record Cut(int node, Way way) {}

  private record PeerCut(int from, int to) {}

  private final Set<Cut> cuts = new HashSet<>();
  private final Set<PeerCut> peerCuts = new HashSet<>();
  private final Set<Integer> refusing = new HashSet<>();

  /** Cuts one direction of a controller's link, or lets it through again. */
  public void set(int node, Way way, boolean cut) {
    if (cut) {
      cuts.add(new Cut(node, way));
    } else {
      cuts.remove(new Cut(node, way));
    }
  }

  /** Cuts what one controller sends to another, or lets it through again. */
  public void setPeer(int from, int to, boolean cut) {
    if (cut) {
      peerCuts.add(new PeerCut(from, to));
    } else {
      peerCuts.remove(new PeerCut(from, to));
    }
  }

  /** Whether a controller's connections to the state service are refused, at once. */
  public void setRefused(int node, boolean refused) {
    if (refused) {
      refusing.add(node);
    } else {
      refusing.remove(node);
    }
  }

  /** Lets everything through again. */
  public void clear() {
    cuts.clear();
    peerCuts.clear();
    refusing.clear();
  }

  boolean lost(int node, Way way) {
    return cuts.contains(new Cut(node, way));
  }

  boolean peerLost(int from, int to) {
    return peerCuts.contains(new PeerCut(from, to));
  }

  boolean refused(int node) {
    return refusing.contains(node);
  }
}
