package gladeknot.connectivity;

import gladeknot.peer.PeerReachability;
import gladeknot.peer.PeerReachability.ShardAccept;
import gladeknot.peer.PeerReachability.ShardOffer;
import gladeknot.settings.PartialCuts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Voluntary failover: an owner that can't reach the state service hands a shard over to a
 * controller that can. The owner offers the shard under every term that the shard may have, the
 * other controller accepts, and the owner relinquishes the shard. Only then does the other
 * controller take the shard over, with a write that is conditional on the shard's key.
 *
 * <p>Until it relinquishes the shard, the owner continues as its leases allow, so an offer that
 * nobody accepts costs nothing. Afterwards it takes no action under any of the offered terms,
 * whatever it receives.
 */
final class FailoverOffers {
  private static final Logger LOG = LoggerFactory.getLogger(FailoverOffers.class);

  /** Number of heartbeat intervals after which an offer that is not accepted is withdrawn. */
  private static final int ACCEPT_TIMEOUT_INTERVALS = 3;

  /** Number of heartbeat intervals without an offer to a node that did not accept one. */
  private static final int DECLINED_BACKOFF_INTERVALS = 10;

  /** Chooses the node to which a shard is offered. */
  interface SuccessorSelector {
    /** Returns the best node that is not excluded, if there is one. */
    Optional<String> choose(int shard, List<String> excluded);
  }

  /** An offer of a shard made by this controller. */
  private record Offer(
      long incarnation, long term, String to, long sinceMicros, boolean relinquished) {
    private Offer asRelinquished() {
      return new Offer(incarnation, term, to, sinceMicros, true);
    }
  }

  /** An offer of a shard that this controller has received. */
  private record ReceivedOffer(long incarnation, long term, String from, boolean relinquished) {}

  /** A node that did not accept the offer of a shard. */
  private record Declined(int shard, String node) {}

  private final String self;
  private final ShardView shards;
  private final LinkTable links;
  private final OwnerHistory history;
  private final long heartbeatMicros;
  private final long offerAfterMicros;
  private final Map<Integer, Long> stateFailingSince = new HashMap<>();
  private final Map<Integer, Offer> offers = new HashMap<>();
  private final Map<Integer, ReceivedOffer> receivedOffers = new HashMap<>();
  private final Map<Declined, Long> declinedUntil = new HashMap<>();
  private final Map<Integer, Long> observedTerms = new HashMap<>();
  private long nowMicros;

  FailoverOffers(String self, ShardView shards, LinkTable links, PartialCuts settings) {
    this.self = self;
    this.shards = shards;
    this.links = links;
    this.history = new OwnerHistory(shards, links, settings.handover().keepMicros());
    this.heartbeatMicros = settings.links().heartbeatMicros();
    this.offerAfterMicros = settings.handover().offerAfterMicros();
  }

  /** Makes, renews and withdraws offers; returns whether to notify the peers immediately. */
  boolean tick(long steadyMicros, SuccessorSelector selector) {
    nowMicros = steadyMicros;
    boolean changed = false;
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      observe(shard);
      if (shards.isOwned(shard)) {
        changed |= updateOffer(shard, selector);
      } else {
        offers.remove(shard);
        stateFailingSince.remove(shard);
      }
    }
    return changed;
  }

  /** Observes the owner and term of a shard; a new term ends offers under the previous one. */
  private void observe(int shard) {
    long term = shards.term(shard);
    history.observe(shard, nowMicros);
    Long previousTerm = observedTerms.put(shard, term);
    if (previousTerm != null && previousTerm != term) {
      offers.remove(shard);
      receivedOffers.remove(shard);
    }
  }

  /** Counts a failure of a shard's home; returns the number of consecutive earlier failures. */
  int countHomeFailure(int shard) {
    return history.countHomeFailure(shard);
  }

  /** Returns the owner of a shard before its current one; null if unknown. */
  String previousOwner(int shard) {
    observe(shard);
    return history.previousOwner(shard);
  }

  /** Returns whether a shard's owner changed too often recently for another transfer. */
  boolean suppressed(int shard) {
    return history.suppressed(shard, nowMicros);
  }

  private boolean updateOffer(int shard, SuccessorSelector selector) {
    Offer offer = offers.get(shard);
    if (offer != null && offer.relinquished()) {
      return false;
    }
    if (links.unreachableDirection(LinkId.STATE).isEmpty()) {
      stateFailingSince.remove(shard);
      return offers.remove(shard) != null;
    }
    long since = stateFailingSince.computeIfAbsent(shard, s -> nowMicros);
    if (nowMicros - since < offerAfterMicros || suppressed(shard)) {
      return false;
    }
    if (offer != null) {
      if (nowMicros - offer.sinceMicros() < ACCEPT_TIMEOUT_INTERVALS * heartbeatMicros) {
        return false;
      }
      decline(shard, offer.to());
    }
    return makeOffer(shard, selector);
  }

  /** Withdraws an offer that a node has not accepted in time. */
  private void decline(int shard, String node) {
    declinedUntil.put(
        new Declined(shard, node), nowMicros + DECLINED_BACKOFF_INTERVALS * heartbeatMicros);
    offers.remove(shard);
  }

  private boolean makeOffer(int shard, SuccessorSelector selector) {
    declinedUntil.values().removeIf(until -> until <= nowMicros);
    List<String> excluded =
        declinedUntil.keySet().stream()
            .filter(declined -> declined.shard() == shard)
            .map(Declined::node)
            .toList();
    Optional<String> successor = selector.choose(shard, excluded);
    if (successor.isEmpty()) {
      return false;
    }
    long incarnation = shards.incarnation(shard);
    long term = shards.highestTerm(shard);
    offers.put(shard, new Offer(incarnation, term, successor.get(), nowMicros, false));
    return true;
  }

  /** Handles a peer's record; returns whether to notify the peers immediately. */
  boolean onReachability(String from, PeerReachability reachability) {
    boolean changed = false;
    receivedOffers.values().removeIf(offer -> offer.from().equals(from));
    for (ShardOffer offer : reachability.offers()) {
      if (offer.to().equals(self) && mayAccept(from, offer)) {
        receivedOffers.put(
            offer.shard(),
            new ReceivedOffer(offer.incarnation(), offer.term(), from, offer.relinquished()));
        changed |= !offer.relinquished();
      }
    }
    for (ShardAccept accept : reachability.accepts()) {
      changed |= onAccept(from, accept);
    }
    return changed;
  }

  private boolean mayAccept(String from, ShardOffer offer) {
    int shard = offer.shard();
    return shard < shards.shardCount()
        && from.equals(shards.owner(shard).orElse(null))
        && shards.incarnation(shard) == offer.incarnation()
        && shards.term(shard) <= offer.term()
        && (offer.relinquished() || (links.steady(LinkId.STATE) && !suppressed(shard)));
  }

  /** Relinquishes a shard if the acceptance of its offer is valid; returns whether it was. */
  private boolean onAccept(String from, ShardAccept accept) {
    int shard = accept.shard();
    Offer offer = offers.get(shard);
    boolean valid =
        offer != null
            && !offer.relinquished()
            && accept.from().equals(self)
            && offer.to().equals(from)
            && offer.term() == accept.term()
            && shards.isOwned(shard);
    if (!valid) {
      return false;
    }
    LOG.info("shard relinquished shard={} to={} term={}", shard, from, offer.term());
    offers.put(shard, offer.asRelinquished());
    shards.relinquish(shard);
    return true;
  }

  /**
   * Returns whether a shard's owner has relinquished it to this node under the given term or a
   * later one.
   */
  boolean relinquishedToThisNode(int shard, long incarnation, long term) {
    ReceivedOffer offer = receivedOffers.get(shard);
    return offer != null
        && offer.relinquished()
        && offer.incarnation() == incarnation
        && term <= offer.term();
  }

  /** Returns this controller's offers, for its next record. */
  List<ShardOffer> offers() {
    List<ShardOffer> entries = new ArrayList<>();
    offers.forEach(
        (shard, offer) ->
            entries.add(
                new ShardOffer(
                    shard, offer.incarnation(), offer.term(), offer.to(), offer.relinquished())));
    return entries.subList(0, Math.min(entries.size(), PeerReachability.MAX_ENTRIES));
  }

  /** Returns the offers that this controller accepts, for its next record. */
  List<ShardAccept> accepts() {
    List<ShardAccept> entries = new ArrayList<>();
    receivedOffers.forEach(
        (shard, offer) -> entries.add(new ShardAccept(shard, offer.term(), offer.from())));
    return entries.subList(0, Math.min(entries.size(), PeerReachability.MAX_ENTRIES));
  }
}
