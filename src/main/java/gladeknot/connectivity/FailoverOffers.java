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
 * Voluntary failover: how a controller without the state service hands a shard to one that has it.
 * It offers the shard under every term that it may have, the other accepts, it relinquishes the
 * shard, and then alone the other takes it with a write that is conditional on the shard's key. An
 * owner continues as its leases allow until it relinquishes, so that an offer which nobody accepts
 * costs nothing; after that it does nothing more under any of these terms, whatever it receives.
 */
final class FailoverOffers {
  private static final Logger LOG = LoggerFactory.getLogger(FailoverOffers.class);

  /** An offer that is not accepted within so many heartbeat intervals is withdrawn. */
  private static final int ACCEPT_INTERVALS = 3;

  /** A node that did not accept gets no further offer for so many heartbeat intervals. */
  private static final int DECLINED_INTERVALS = 10;

  /** Chooses the node to which a shard is offered. */
  interface TakerSelector {
    /** The best node that is not excluded, if there is one. */
    Optional<String> choose(int shard, List<String> excluded);
  }

  /** What this controller has offered of one shard. */
  private record Offer(
      long incarnation, long term, String to, long sinceMicros, boolean relinquished) {
    private Offer asRelinquished() {
      return new Offer(incarnation, term, to, sinceMicros, true);
    }
  }

  /** What another controller has offered this one of one shard. */
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
  private final Map<Integer, ReceivedOffer> received = new HashMap<>();
  private final Map<Declined, Long> declinedUntil = new HashMap<>();
  private final Map<Integer, Long> observedTerm = new HashMap<>();
  private long nowMicros;

  FailoverOffers(String self, ShardView shards, LinkTable links, PartialCuts settings) {
    this.self = self;
    this.shards = shards;
    this.links = links;
    this.history = new OwnerHistory(shards, links, settings.handover().keepMicros());
    this.heartbeatMicros = settings.links().heartbeatMicros();
    this.offerAfterMicros = settings.handover().offerAfterMicros();
  }

  /** Makes, renews and withdraws offers; returns whether the peers must be notified at once. */
  boolean tick(long now, TakerSelector selector) {
    nowMicros = now;
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

  /** Observes owner and term of a shard; a new term ends what was offered under the former. */
  private void observe(int shard) {
    long term = shards.term(shard);
    history.observe(shard, nowMicros);
    Long before = observedTerm.put(shard, term);
    if (before != null && before != term) {
      offers.remove(shard);
      received.remove(shard);
    }
  }

  /** Counts one more failure of a shard's home; returns how many there were before in a row. */
  int countHomeFailure(int shard) {
    return history.countHomeFailure(shard);
  }

  /** Who owned a shard before its present owner; null if that is not known. */
  String previousOwner(int shard) {
    observe(shard);
    return history.previousOwner(shard);
  }

  /** Whether a shard has changed hands too often recently to do so again. */
  boolean suppressed(int shard) {
    return history.suppressed(shard, nowMicros);
  }

  private boolean updateOffer(int shard, TakerSelector selector) {
    Offer offer = offers.get(shard);
    if (offer != null && offer.relinquished()) {
      return false;
    }
    if (links.unreachable(LinkId.STATE).isEmpty()) {
      stateFailingSince.remove(shard);
      return offers.remove(shard) != null;
    }
    long since = stateFailingSince.computeIfAbsent(shard, s -> nowMicros);
    if (nowMicros - since < offerAfterMicros || suppressed(shard)) {
      return false;
    }
    if (offer != null) {
      if (nowMicros - offer.sinceMicros() < ACCEPT_INTERVALS * heartbeatMicros) {
        return false;
      }
      decline(shard, offer.to());
    }
    return makeOffer(shard, selector);
  }

  /** An offer was not accepted in time. */
  private void decline(int shard, String node) {
    declinedUntil.put(new Declined(shard, node), nowMicros + DECLINED_INTERVALS * heartbeatMicros);
    offers.remove(shard);
  }

  private boolean makeOffer(int shard, TakerSelector selector) {
    declinedUntil.values().removeIf(until -> until <= nowMicros);
    List<String> excluded =
        declinedUntil.keySet().stream()
            .filter(declined -> declined.shard() == shard)
            .map(Declined::node)
            .toList();
    Optional<String> taker = selector.choose(shard, excluded);
    if (taker.isEmpty()) {
      return false;
    }
    long incarnation = shards.incarnation(shard);
    long term = shards.highestTerm(shard);
    offers.put(shard, new Offer(incarnation, term, taker.get(), nowMicros, false));
    return true;
  }

  /** Takes in a peer's record; returns whether the peers must be notified at once. */
  boolean onReach(String from, PeerReachability reachability) {
    boolean changed = false;
    received.values().removeIf(offer -> offer.from().equals(from));
    for (ShardOffer offer : reachability.offers()) {
      if (offer.to().equals(self) && mayTake(from, offer)) {
        received.put(
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

  private boolean mayTake(String from, ShardOffer offer) {
    int shard = offer.shard();
    return shard < shards.shardCount()
        && from.equals(shards.owner(shard).orElse(null))
        && shards.incarnation(shard) == offer.incarnation()
        && shards.term(shard) <= offer.term()
        && (offer.relinquished() || (links.steady(LinkId.STATE) && !suppressed(shard)));
  }

  /** Relinquishes a shard whose offer is accepted; returns whether that was so. */
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

  /** Whether a shard's owner has relinquished it to this node under a term, or a later one. */
  boolean relinquishedToThisNode(int shard, long incarnation, long term) {
    ReceivedOffer offer = received.get(shard);
    return offer != null
        && offer.relinquished()
        && offer.incarnation() == incarnation
        && term <= offer.term();
  }

  /** What this controller offers, for its next record. */
  List<ShardOffer> offers() {
    List<ShardOffer> entries = new ArrayList<>();
    offers.forEach(
        (shard, offer) ->
            entries.add(
                new ShardOffer(
                    shard, offer.incarnation(), offer.term(), offer.to(), offer.relinquished())));
    return entries.subList(0, Math.min(entries.size(), PeerReachability.MAX_ENTRIES));
  }

  /** What this controller accepts, for its next record. */
  List<ShardAccept> accepts() {
    List<ShardAccept> entries = new ArrayList<>();
    received.forEach(
        (shard, offer) -> entries.add(new ShardAccept(shard, offer.term(), offer.from())));
    return entries.subList(0, Math.min(entries.size(), PeerReachability.MAX_ENTRIES));
  }
}
