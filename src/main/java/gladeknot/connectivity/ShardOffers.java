package gladeknot.connectivity;

import gladeknot.peer.PeerReach;
import gladeknot.peer.PeerReach.ShardAccept;
import gladeknot.peer.PeerReach.ShardOffer;
import gladeknot.settings.PartialCuts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How a controller without the state service hands a shard to one that has it: it offers the shard
 * under every term that it may have, the other accepts, it yields, and then alone the other takes
 * it with a write that is conditional on the shard's key. An owner goes on as its leases allow
 * until it yields, so that an offer which nobody takes costs nothing; once it has yielded it does
 * nothing more under any of these, whatever it hears later.
 */
final class ShardOffers {
  private static final Logger LOG = LoggerFactory.getLogger(ShardOffers.class);

  /** An offer that is not accepted within so many records is withdrawn. */
  private static final int ACCEPT_INTERVALS = 3;

  /** Who did not accept is not asked again for so many records. */
  private static final int DECLINED_INTERVALS = 10;

  /** A home that has had its shard for so many times the keeping time is trusted again. */
  private static final int RELIABLE_KEEPS = 8;

  /** What we have offered of one shard. */
  private record Offer(long incarnation, long term, String to, long sinceMicros, boolean yielded) {}

  /** What another has offered us of one shard. */
  private record Received(long incarnation, long term, String from, boolean yielded) {}

  private final String self;
  private final ShardView shards;
  private final LinkTable links;
  private final long heartbeatMicros;
  private final long offerAfterMicros;
  private final long keepMicros;
  private final Map<Integer, Long> failingSince = new HashMap<>();
  private final Map<Integer, Offer> offers = new HashMap<>();
  private final Map<Integer, Received> received = new HashMap<>();
  private final Map<String, Long> declinedUntil = new HashMap<>();
  private final Map<Integer, FlapDamping> damping = new HashMap<>();
  private final Map<Integer, String> seenOwner = new HashMap<>();
  private final Map<Integer, String> ownerBefore = new HashMap<>();
  private final Map<Integer, Long> homeSince = new HashMap<>();
  private final Map<Integer, Integer> leftHome = new HashMap<>();
  private final Map<Integer, Long> seenTerm = new HashMap<>();
  private long nowMicros;

  ShardOffers(String self, ShardView shards, LinkTable links, PartialCuts settings) {
    this.self = self;
    this.shards = shards;
    this.links = links;
    this.heartbeatMicros = settings.links().heartbeatMicros();
    this.keepMicros = settings.handover().keepMicros();
    this.offerAfterMicros = settings.handover().offerAfterMicros();
  }

  /** Chooses to whom a shard is offered, among those that are not left out. */
  interface Chooser {
    Optional<String> choose(int shard, List<String> leftOut);
  }

  /** Makes, renews and withdraws offers; returns whether there is something to tell at once. */
  boolean tick(long now, Chooser chooser) {
    nowMicros = now;
    boolean changed = false;
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      followTerm(shard);
      if (shards.isOwned(shard)) {
        changed |= offer(shard, chooser);
      } else {
        offers.remove(shard);
        failingSince.remove(shard);
      }
    }
    return changed;
  }

  /**
   * A new term ends what was said under the one before. Only a change of owner counts for the
   * damping: an owner whose transaction gets no answer makes its key's stamp and term new, and
   * would keep its shard from being taken just when it is cut off.
   */
  private void followTerm(int shard) {
    long term = shards.term(shard);
    String owner = shards.owner(shard);
    if (!Objects.equals(owner, seenOwner.get(shard))) {
      String from = seenOwner.put(shard, owner);
      ownerBefore.put(shard, from);
      changedOwner(shard, owner);
      if (from != null) {
        damping(shard).changed(nowMicros);
      }
    }
    Long before = seenTerm.put(shard, term);
    if (before != null && before != term) {
      offers.remove(shard);
      received.remove(shard);
    }
  }

  /** A shard that leaves its home after a long stay there begins to be counted anew. */
  private void changedOwner(int shard, String owner) {
    if (shards.home(shard).equals(owner)) {
      homeSince.put(shard, nowMicros);
    } else if (shards.home(shard).equals(ownerBefore.get(shard))) {
      long stayed = nowMicros - homeSince.getOrDefault(shard, 0L);
      if (stayed > RELIABLE_KEEPS * keepMicros) {
        leftHome.remove(shard);
      }
    }
  }

  /** How often in a row a shard has left its home soon after it had come there. */
  private int leftHome(int shard) {
    return leftHome.getOrDefault(shard, 0);
  }

  /** Counts one more failure of a shard's home; returns how many there were before in a row. */
  int failedAtHome(int shard) {
    int before = leftHome(shard);
    leftHome.put(shard, before + 1);
    return before;
  }

  /** Who owned a shard before its present owner; null if that is not known. */
  String ownerBefore(int shard) {
    followTerm(shard);
    return ownerBefore.get(shard);
  }

  private FlapDamping damping(int shard) {
    return damping.computeIfAbsent(shard, s -> links.newDamping());
  }

  /** Whether a shard has changed hands too often of late to do so again. */
  boolean suppressed(int shard) {
    return damping(shard).suppressed(nowMicros);
  }

  private boolean offer(int shard, Chooser chooser) {
    Offer offer = offers.get(shard);
    if (offer != null && offer.yielded()) {
      return false;
    }
    if (links.unreachable(LinkId.STATE) == null) {
      failingSince.remove(shard);
      return offers.remove(shard) != null;
    }
    long since = failingSince.computeIfAbsent(shard, s -> nowMicros);
    if (nowMicros - since < offerAfterMicros || suppressed(shard)) {
      return false;
    }
    if (offer != null) {
      if (nowMicros - offer.sinceMicros() < ACCEPT_INTERVALS * heartbeatMicros) {
        return false;
      }
      declinedUntil.put(key(shard, offer.to()), nowMicros + DECLINED_INTERVALS * heartbeatMicros);
      offers.remove(shard);
    }
    declinedUntil.values().removeIf(until -> until <= nowMicros);
    Optional<String> to = chooser.choose(shard, declined(shard));
    to.ifPresent(
        node ->
            offers.put(
                shard,
                new Offer(
                    shards.incarnation(shard), shards.highestTerm(shard), node, nowMicros, false)));
    return to.isPresent();
  }

  private static String key(int shard, String node) {
    return shard + "/" + node;
  }

  private List<String> declined(int shard) {
    String prefix = shard + "/";
    return declinedUntil.keySet().stream()
        .filter(k -> k.startsWith(prefix))
        .map(k -> k.substring(prefix.length()))
        .toList();
  }

  /** Takes in another's record; returns whether there is something to tell at once. */
  boolean received(String from, PeerReach reach) {
    boolean changed = false;
    received.values().removeIf(r -> r.from().equals(from));
    for (ShardOffer offer : reach.offers()) {
      if (offer.to().equals(self) && mayTake(from, offer)) {
        received.put(
            offer.shard(), new Received(offer.incarnation(), offer.term(), from, offer.yielded()));
        changed |= !offer.yielded();
      }
    }
    for (ShardAccept accept : reach.accepts()) {
      changed |= accepted(from, accept);
    }
    return changed;
  }

  private boolean mayTake(String from, ShardOffer offer) {
    int shard = offer.shard();
    boolean known = shard < shards.shardCount();
    return known
        && from.equals(shards.owner(shard))
        && shards.incarnation(shard) == offer.incarnation()
        && shards.term(shard) <= offer.term()
        && (offer.yielded() || (links.steady(LinkId.STATE) && !suppressed(shard)));
  }

  private boolean accepted(String from, ShardAccept accept) {
    Offer offer = offers.get(accept.shard());
    boolean asked =
        offer != null
            && !offer.yielded()
            && accept.from().equals(self)
            && offer.to().equals(from)
            && offer.term() == accept.term()
            && shards.isOwned(accept.shard());
    if (!asked) {
      return false;
    }
    LOG.info("shard {} yielded to {} under term {}", accept.shard(), from, offer.term());
    offers.put(
        accept.shard(),
        new Offer(offer.incarnation(), offer.term(), offer.to(), offer.sinceMicros(), true));
    shards.yield(accept.shard());
    return true;
  }

  /** Whether the owner of a shard has yielded it to us under a term, or under a later one. */
  boolean yieldedToUs(int shard, long incarnation, long term) {
    Received offer = received.get(shard);
    return offer != null
        && offer.yielded()
        && offer.incarnation() == incarnation
        && term <= offer.term();
  }

  /** What is offered, for the next record. */
  List<ShardOffer> offers() {
    List<ShardOffer> told = new ArrayList<>();
    offers.forEach(
        (shard, offer) ->
            told.add(
                new ShardOffer(
                    shard, offer.incarnation(), offer.term(), offer.to(), offer.yielded())));
    return told.subList(0, Math.min(told.size(), PeerReach.MAX_ENTRIES));
  }

  /** What is accepted, for the next record. */
  List<ShardAccept> accepts() {
    List<ShardAccept> told = new ArrayList<>();
    received.forEach(
        (shard, offer) -> told.add(new ShardAccept(shard, offer.term(), offer.from())));
    return told.subList(0, Math.min(told.size(), PeerReach.MAX_ENTRIES));
  }
}
