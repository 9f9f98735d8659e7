package gladeknot.connectivity;

import gladeknot.connectivity.OwnerSelector.Candidate;
import gladeknot.peer.PeerReachability;
import gladeknot.settings.PartialCuts;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Advises on failover by what this controller and the others report to reach. */
final class ReachFailoverAdvisor implements FailoverAdvisor {
  /** A shard whose home fails again and again is kept twice as long each time, so often. */
  private static final int MAX_DOUBLINGS = 3;

  /** Nodes that don't reach a shard's workers let others try for so many heartbeat intervals. */
  private static final int DELAY_INTERVALS = 2;

  private final Settings settings;
  private final PartialCuts feature;
  private final ShardView shards;
  private final ShardPopulation population;
  private final PeerLinkObserver peers;
  private final ReachReporter reporter;
  private final FailoverOffers offers;
  private final CanaryProbe canary;
  private final Authority.StateLink stateLink;
  private final Map<Integer, Long> keepUntilMicros = new HashMap<>();
  private final Map<Integer, Long> unreachedSinceMicros = new HashMap<>();
  private long nowMicros;

  ReachFailoverAdvisor(
      Settings settings,
      PartialCuts feature,
      ShardView shards,
      ShardPopulation population,
      PeerLinkObserver peers,
      ReachReporter reporter,
      FailoverOffers offers,
      CanaryProbe canary,
      Authority.StateLink stateLink) {
    this.settings = settings;
    this.feature = feature;
    this.shards = shards;
    this.population = population;
    this.peers = peers;
    this.reporter = reporter;
    this.offers = offers;
    this.canary = canary;
    this.stateLink = stateLink;
  }

  void setTime(long now) {
    nowMicros = now;
  }

  /** A shard is owned now; if a live owner handed it over, it is kept from its home for a while. */
  void onAcquired(int shard) {
    String from = offers.previousOwner(shard);
    boolean handedOver = from != null && peers.freshReach(from).isPresent();
    keepUntilMicros.remove(shard);
    if (handedOver && !settings.node().equals(shards.homeNode(shard))) {
      keepLonger(shard);
    }
  }

  /** Keeps a shard from its home for a while, twice as long each time in a row. */
  void keepLonger(int shard) {
    int doublings = Math.min(MAX_DOUBLINGS, offers.countHomeFailure(shard));
    keepUntilMicros.put(shard, nowMicros + (feature.handover().keepMicros() << doublings));
  }

  /** A shard is not owned any more. */
  void onReleased(int shard) {
    unreachedSinceMicros.remove(shard);
  }

  /** The node to which a shard should be offered, if there is one. */
  Optional<String> chooseTaker(int shard, List<String> excluded) {
    List<Candidate> candidates = candidates(shard, population.workersByZone(shard));
    candidates.removeIf(candidate -> excluded.contains(candidate.node()));
    return OwnerSelector.best(candidates, 0).map(Candidate::node);
  }

  private List<Candidate> candidates(int shard, Map<String, Integer> workersByZone) {
    List<String> ring = settings.nodes();
    int home = ring.indexOf(shards.homeNode(shard));
    List<Candidate> candidates = new ArrayList<>();
    for (Settings.Member member : settings.members()) {
      String node = member.node();
      int distance = Math.floorMod(ring.indexOf(node) - home, ring.size());
      peers
          .freshReach(node)
          .map(
              reachability ->
                  new Candidate(
                      node,
                      reachability.stateSteady(),
                      ReachScore.of(workersByZone, reachability, shard),
                      distance))
          .ifPresent(candidates::add);
    }
    return candidates;
  }

  @Override
  public Optional<String> preferredOwner(int shard) {
    if (!feature.handover().enabled()) {
      return Optional.empty();
    }
    Map<String, Integer> workersByZone = population.workersByZone(shard);
    int ownScore = reporter.score(shard, workersByZone);
    if (ownScore >= ReachScore.UNKNOWN) {
      unreachedSinceMicros.remove(shard);
      return Optional.empty();
    }
    long since = unreachedSinceMicros.computeIfAbsent(shard, s -> nowMicros);
    if (nowMicros - since < feature.handover().offerAfterMicros()) {
      return Optional.empty();
    }
    return OwnerSelector.better(candidates(shard, workersByZone), ownScore).map(Candidate::node);
  }

  @Override
  public boolean mayReturnHome(int shard, String home) {
    Optional<PeerReachability> reachability = peers.freshReach(home);
    Long keepUntil = keepUntilMicros.get(shard);
    if (!feature.handover().enabled() || reachability.isEmpty() || keepUntil == null) {
      return true;
    }
    return nowMicros >= keepUntil
        && reachability.get().stateSteady()
        && !offers.suppressed(shard)
        && (population.workersByZone(shard).isEmpty() || canary.succeeded(shard));
  }

  @Override
  public boolean relinquishedToThisNode(int shard, long incarnation, long term) {
    return feature.handover().enabled() && offers.relinquishedToThisNode(shard, incarnation, term);
  }

  /** Nodes that don't reach a shard's workers let those that do go first. */
  @Override
  public long failoverDelayMicros(int shard) {
    int ownScore = reporter.score(shard, population.workersByZone(shard));
    boolean reached = ownScore >= ReachScore.UNKNOWN;
    return reached ? 0 : DELAY_INTERVALS * feature.links().heartbeatMicros();
  }

  /** Unless no other controller, as far as its records arrive, reaches the state service. */
  @Override
  public boolean abandonsLease() {
    if (stateLink.usable() || !feature.handover().enabled()) {
      return false;
    }
    boolean anyFresh = false;
    for (Settings.Member member : settings.members()) {
      Optional<PeerReachability> reachability = peers.freshReach(member.node());
      if (reachability.isPresent() && reachability.get().stateSteady()) {
        return true;
      }
      anyFresh |= reachability.isPresent();
    }
    return !anyFresh;
  }
}
