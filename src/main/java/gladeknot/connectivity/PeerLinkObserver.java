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
 * direction. A peer's report of the newest record that it has received from this controller proves
 * the outbound direction, even if a third controller relays the report. This distinguishes a link
 * that fails in one direction from a link that fails in both.
 */
final class PeerLinkObserver {
  /** Number of this controller's latest records whose send times are kept. */
  private static final int MAX_KEPT_SEND_TIMES = 128;

  /** Number of heartbeat intervals after which a record is overdue. */
  private static final double OVERDUE_AFTER_INTERVALS = 2.5;

  /** The observations of another controller. */
  private static final class Peer {
    private PeerReachability reachability;
    private long receivedMicros;

    /** The newest record of this controller that the peer has received, by any report. */
    private long lastEchoedSequence;
  }

  private final String self;
  private final long heartbeatMicros;
  private final LinkTable links;
  private final Map<String, Peer> peers = new TreeMap<>();
  private final long[] sentMicros = new long[MAX_KEPT_SEND_TIMES];
  private long processStartMicros;
  private long sequence;
  private long nowMicros;

  PeerLinkObserver(String self, long heartbeatMicros, LinkTable links) {
    this.self = self;
    this.heartbeatMicros = heartbeatMicros;
    this.links = links;
  }

  /** Identifies this process by the time of day at which it started. */
  void begin(long wallMicros) {
    processStartMicros = wallMicros;
  }

  /** Returns the time of day at which this process started, as passed to {@link #begin}. */
  long processStartMicros() {
    return processStartMicros;
  }

  /** Returns the number of the record to send now and stores its send time. */
  long nextSequence() {
    sequence++;
    sentMicros[(int) (sequence % MAX_KEPT_SEND_TIMES)] = nowMicros;
    return sequence;
  }

  /**
   * Returns the newest records received here and, by their own reports, by the peers. They go into
   * this controller's next record.
   */
  List<Observation> observations() {
    List<Observation> observations = new ArrayList<>();
    peers.forEach(
        (node, peer) ->
            observations.add(
                new Observation(
                    self,
                    node,
                    peer.reachability.processStartMicros(),
                    peer.reachability.sequence())));
    for (Map.Entry<String, Peer> entry : peers.entrySet()) {
      if (isFresh(entry.getValue())) {
        for (Observation observation : entry.getValue().reachability.observations()) {
          boolean own = observation.observer().equals(entry.getKey());
          if (own && observations.size() < PeerReachability.MAX_ENTRIES) {
            observations.add(observation);
          }
        }
      }
    }
    return observations.subList(0, Math.min(observations.size(), PeerReachability.MAX_ENTRIES));
  }

  /** Handles a peer's record; returns whether it is newer than all earlier ones. */
  boolean onReachability(String from, PeerReachability reachability) {
    Peer peer = peers.computeIfAbsent(from, node -> new Peer());
    PeerReachability last = peer.reachability;
    if (last != null && !isNewer(peer, reachability)) {
      return false;
    }
    peer.reachability = reachability;
    peer.receivedMicros = nowMicros;
    links.health(LinkId.peer(from), Direction.INBOUND).recordProven(nowMicros);
    for (Observation observation : reachability.observations()) {
      Peer observer = peers.get(observation.observer());
      boolean ofThisProcess =
          observation.subject().equals(self)
              && observation.processStartMicros() == processStartMicros;
      if (ofThisProcess && observer != null) {
        recordEcho(observation.observer(), observer, observation.sequence());
      }
    }
    return true;
  }

  /**
   * Returns whether a record is newer than the last one of its peer. A record of a restarted
   * process is newer even if the peer's clock was set back, provided that the last record is
   * overdue.
   */
  private boolean isNewer(Peer peer, PeerReachability reachability) {
    if (reachability.processStartMicros() == peer.reachability.processStartMicros()) {
      return reachability.sequence() > peer.reachability.sequence();
    }
    return reachability.processStartMicros() > peer.reachability.processStartMicros()
        || !isFresh(peer);
  }

  private void recordEcho(String node, Peer peer, long echoedSequence) {
    if (echoedSequence > peer.lastEchoedSequence && echoedSequence <= sequence) {
      peer.lastEchoedSequence = echoedSequence;
      if (sequence - echoedSequence < MAX_KEPT_SEND_TIMES) {
        long sentAtMicros = sentMicros[(int) (echoedSequence % MAX_KEPT_SEND_TIMES)];
        links.health(LinkId.peer(node), Direction.OUTBOUND).recordProven(sentAtMicros);
      }
    }
  }

  /** Advances the time and records overdue messages as evidence. */
  void tick(long steadyMicros) {
    nowMicros = steadyMicros;
    long overdueAfterMicros = (long) (heartbeatMicros * OVERDUE_AFTER_INTERVALS);
    peers.forEach(
        (node, peer) -> {
          if (steadyMicros - peer.receivedMicros > overdueAfterMicros) {
            links
                .health(LinkId.peer(node), Direction.INBOUND)
                .recordOverdue(peer.receivedMicros + heartbeatMicros);
          }
          long next = peer.lastEchoedSequence + 1;
          boolean sendTimeKept = next <= sequence && sequence - next < MAX_KEPT_SEND_TIMES;
          long sentAtMicros = sentMicros[(int) (next % MAX_KEPT_SEND_TIMES)];
          // Without a later report of the peer there is no evidence on this direction.
          if (sendTimeKept && hasReportSince(node, sentAtMicros + overdueAfterMicros)) {
            links.health(LinkId.peer(node), Direction.OUTBOUND).recordOverdue(sentAtMicros);
          }
        });
  }

  /** Returns whether a controller's report arrived since the given time, directly or relayed. */
  private boolean hasReportSince(String node, long sinceMicros) {
    if (nowMicros < sinceMicros) {
      return false;
    }
    if (peers.get(node).receivedMicros >= sinceMicros) {
      return true;
    }
    return peers.entrySet().stream()
        .filter(entry -> entry.getValue().receivedMicros >= sinceMicros)
        .flatMap(entry -> entry.getValue().reachability.observations().stream())
        .anyMatch(observation -> observation.observer().equals(node));
  }

  private boolean isFresh(Peer peer) {
    return nowMicros - peer.receivedMicros <= heartbeatMicros * OVERDUE_AFTER_INTERVALS;
  }

  /** Returns the time since the newest record of a controller arrived, if any has. */
  OptionalLong sinceLastRecordMicros(String node) {
    Peer peer = peers.get(node);
    return peer == null ? OptionalLong.empty() : OptionalLong.of(nowMicros - peer.receivedMicros);
  }

  /** Returns the newest record of a controller, unless its next record is overdue. */
  Optional<PeerReachability> freshReachability(String node) {
    Peer peer = peers.get(node);
    return peer != null && isFresh(peer) ? Optional.of(peer.reachability) : Optional.empty();
  }
}
