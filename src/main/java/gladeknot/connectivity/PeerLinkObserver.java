package gladeknot.connectivity;

import gladeknot.peer.PeerReachability;
import gladeknot.peer.PeerReachability.Observation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Derives evidence on the links to the other controllers. A record that arrives proves the inbound
 * direction. The newest of this controller's records that a peer reports to have received proves
 * the outbound direction, also when a third controller relays the report, so that a link that fails
 * one way is distinguished from one that fails both ways.
 */
final class PeerLinkObserver {
  /** Own records whose time of sending is remembered. */
  private static final int REMEMBERED = 128;

  /** A record is overdue after so many intervals. */
  private static final double OVERDUE_INTERVALS = 2.5;

  /** What is known of one other controller. */
  private static final class Peer {
    private PeerReachability reachability;
    private long receivedMicros;

    /** The newest of this controller's records that it has received, by any report. */
    private long echoedSequence;
  }

  private final String self;
  private final long heartbeatMicros;
  private final LinkTable links;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final long[] sentMicros = new long[REMEMBERED];
  private long processStartMicros;
  private long sequence;
  private long nowMicros;

  PeerLinkObserver(String self, long heartbeatMicros, LinkTable links) {
    this.self = self;
    this.heartbeatMicros = heartbeatMicros;
    this.links = links;
  }

  /** Identifies this life of the process by the time of day at which it began. */
  void begin(long wallMicros) {
    processStartMicros = wallMicros;
  }

  /** This life of the process, as {@link #begin} named it. */
  long processStartMicros() {
    return processStartMicros;
  }

  /** Numbers the record that is sent now. */
  long nextSequence() {
    sequence++;
    sentMicros[(int) (sequence % REMEMBERED)] = nowMicros;
    return sequence;
  }

  /** Which records have been received, here and by the peers' reports, for the next record. */
  List<Observation> observations() {
    List<Observation> rows = new ArrayList<>();
    peers.forEach(
        (node, peer) ->
            rows.add(
                new Observation(
                    self,
                    node,
                    peer.reachability.processStartMicros(),
                    peer.reachability.sequence())));
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      if (fresh(entry.getValue())) {
        for (Observation row : entry.getValue().reachability.observations()) {
          boolean own = row.observer().equals(entry.getKey());
          if (own && rows.size() < PeerReachability.MAX_ENTRIES) {
            rows.add(row);
          }
        }
      }
    }
    return rows.subList(0, Math.min(rows.size(), PeerReachability.MAX_ENTRIES));
  }

  /** Takes in a peer's record; returns whether it is newer than those before it. */
  boolean onReach(String from, PeerReachability reachability) {
    Peer peer = peers.computeIfAbsent(from, f -> new Peer());
    PeerReachability last = peer.reachability;
    if (last != null && !newer(peer, reachability)) {
      return false;
    }
    peer.reachability = reachability;
    peer.receivedMicros = nowMicros;
    links.health(LinkId.peer(from), Direction.INBOUND).proven(nowMicros);
    for (Observation row : reachability.observations()) {
      Peer observer = peers.get(row.observer());
      boolean ofThisNode =
          row.subject().equals(self) && row.processStartMicros() == processStartMicros;
      if (ofThisNode && observer != null) {
        echoed(row.observer(), observer, row.sequence());
      }
    }
    return true;
  }

  /** A new life is newer, even with a clock that was set back while no records arrived. */
  private boolean newer(Peer peer, PeerReachability reachability) {
    if (reachability.processStartMicros() == peer.reachability.processStartMicros()) {
      return reachability.sequence() > peer.reachability.sequence();
    }
    return reachability.processStartMicros() > peer.reachability.processStartMicros()
        || !fresh(peer);
  }

  private void echoed(String node, Peer peer, long heardSequence) {
    if (heardSequence > peer.echoedSequence && heardSequence <= sequence) {
      peer.echoedSequence = heardSequence;
      if (sequence - heardSequence < REMEMBERED) {
        long sent = sentMicros[(int) (heardSequence % REMEMBERED)];
        links.health(LinkId.peer(node), Direction.OUTBOUND).proven(sent);
      }
    }
  }

  /** Advances the time and finds what is overdue. */
  void tick(long now) {
    nowMicros = now;
    long overdueAfter = (long) (heartbeatMicros * OVERDUE_INTERVALS);
    peers.forEach(
        (node, peer) -> {
          if (now - peer.receivedMicros > overdueAfter) {
            links
                .health(LinkId.peer(node), Direction.INBOUND)
                .overdue(peer.receivedMicros + heartbeatMicros);
          }
          long next = peer.echoedSequence + 1;
          boolean remembered = next <= sequence && sequence - next < REMEMBERED;
          long sent = sentMicros[(int) (next % REMEMBERED)];
          // Without any report of that peer nothing is known of this direction.
          if (remembered && witnessed(node, sent + overdueAfter)) {
            links.health(LinkId.peer(node), Direction.OUTBOUND).overdue(sent);
          }
        });
  }

  /** Whether a report of a controller has arrived since some moment, directly or relayed. */
  private boolean witnessed(String node, long sinceMicros) {
    if (nowMicros < sinceMicros) {
      return false;
    }
    if (peers.get(node).receivedMicros >= sinceMicros) {
      return true;
    }
    return peers.entrySet().stream()
        .filter(e -> e.getValue().receivedMicros >= sinceMicros)
        .flatMap(e -> e.getValue().reachability.observations().stream())
        .anyMatch(row -> row.observer().equals(node));
  }

  private boolean fresh(Peer peer) {
    return nowMicros - peer.receivedMicros <= heartbeatMicros * OVERDUE_INTERVALS;
  }

  /** How long ago the newest record of a controller arrived, if one ever did. */
  OptionalLong sinceLastRecordMicros(String node) {
    Peer peer = peers.get(node);
    return peer == null ? OptionalLong.empty() : OptionalLong.of(nowMicros - peer.receivedMicros);
  }

  /** The newest record of a controller, unless it is overdue. */
  Optional<PeerReachability> freshReach(String node) {
    Peer peer = peers.get(node);
    return peer != null && fresh(peer) ? Optional.of(peer.reachability) : Optional.empty();
  }
}
