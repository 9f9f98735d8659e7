package gladeknot.connectivity;

import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.peer.PeerReachability;
import gladeknot.peer.PeerReachability.ShardContact;
import gladeknot.peer.PeerReachability.ZoneReachability;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Reports this controller's reachability, offers and acceptances to the other controllers. */
final class ReachabilityReporter {
  private final String node;
  private final Outbox outbox;
  private final LinkTable links;
  private final WorkerLinkObserver workers;
  private final PeerLinkObserver peers;
  private final FailoverOffers offers;
  private final long intervalMicros;
  private long nextReportMicros;

  ReachabilityReporter(
      String node,
      Outbox outbox,
      LinkTable links,
      WorkerLinkObserver workers,
      PeerLinkObserver peers,
      FailoverOffers offers,
      long intervalMicros) {
    this.node = node;
    this.outbox = outbox;
    this.links = links;
    this.workers = workers;
    this.peers = peers;
    this.offers = offers;
    this.intervalMicros = intervalMicros;
  }

  /** Returns whether the next report is due. */
  boolean isDue(long nowMicros) {
    return nowMicros >= nextReportMicros;
  }

  /** Sends a report now. */
  void report(long nowMicros) {
    nextReportMicros = nowMicros + intervalMicros;
    PeerReachability reachability =
        new PeerReachability(
            peers.processStartMicros(),
            peers.nextSequence(),
            links.steady(LinkId.STATE),
            peers.observations(),
            zones(),
            contacts(),
            offers.offers(),
            offers.accepts());
    outbox.sendToPeers(PeerMessage.ofReachability(node, reachability));
  }

  /** Returns how well this controller reaches the workers of a shard, from 0 to 100. */
  int score(int shard, Map<String, Integer> workersByZone) {
    return ReachabilityScore.of(workersByZone, zones(), contacts(), shard);
  }

  private List<ZoneReachability> zones() {
    Map<String, Integer> percents = new TreeMap<>();
    for (LinkTable.DirectionState state : links.directionStates()) {
      if (state.link().kind() == LinkId.Kind.WORKERS) {
        percents.merge(state.link().name(), ReachabilityScore.of(state.verdict()), Math::min);
      }
    }
    return percents.entrySet().stream()
        .limit(PeerReachability.MAX_ENTRIES)
        .map(entry -> new ZoneReachability(entry.getKey(), entry.getValue()))
        .toList();
  }

  private List<ShardContact> contacts() {
    return workers.remoteContacts().entrySet().stream()
        .limit(PeerReachability.MAX_ENTRIES)
        .map(entry -> new ShardContact(entry.getKey(), entry.getValue()))
        .toList();
  }
}
