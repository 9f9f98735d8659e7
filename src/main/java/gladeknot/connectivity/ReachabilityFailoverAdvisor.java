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

/** Advises on failover, based on the reachability that this and the other controllers report. */
final class ReachabilityFailoverAdvisor implements FailoverAdvisor {
  /** Maximum number of doublings of the keep time of a shard whose home fails repeatedly. */
  private static final int MAX_KEEP_DOUBLINGS = 3;

  /** Failover delay of nodes that don't reach a shard's workers, in heartbeat intervals. */
  private static final int FAILOVER_DELAY_INTERVALS = 2;

  private final Settings settings;
  private final PartialCuts feature;
  private final ShardView shards;
  private final ShardPopulation population;
  private final PeerLinkObserver peers;
  private final ReachabilityReporter reporter;
  private final FailoverOffers offers;
  private final CanaryProbe canary;
  private final Authority.StateLink stateLink;
  private final Map<Integer, Long> keepUntilMicros = new HashMap<>();
  private final Map<Integer, Long> unreachableSinceMicros = new HashMap<>();
  private long nowMicros;

  ReachabilityFailoverAdvisor(
      Settings settings,
      PartialCuts feature,
      ShardView shards,
      ShardPopulation population,
      PeerLinkObserver peers,
      ReachabilityReporter reporter,
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

  void setTime(long steadyMicros) {
    nowMicros = steadyMicros;
  }

  /**
   * Called when this controller has become the owner of a shard. If the previous owner is alive and
   * this controller is not the shard's home, the shard is not returned home before the keep time
   * has passed.
   */
  void onAcquired(int shard) {
    String previousOwner = offers.previousOwner(shard);
    boolean handedOver =
        previousOwner != null && peers.freshReachability(previousOwner).isPresent();
    keepUntilMicros.remove(shard);
    if (handedOver && !settings.node().equals(shards.homeNode(shard))) {
      extendKeepTime(shard);
    }
  }

  /** Delays the return of a shard to its home; the delay doubles with each consecutive failure. */
  void extendKeepTime(int shard) {
    int doublings = Math.min(MAX_KEEP_DOUBLINGS, offers.countHomeFailure(shard));
    keepUntilMicros.put(shard, nowMicros + (feature.handover().keepMicros() << doublings));
  }

  /** Called when this controller is no longer the owner of a shard. */
  void onReleased(int shard) {
    unreachableSinceMicros.remove(shard);
  }

  /** Returns the node to which a shard should be offered, if there is one. */
  Optional<String> chooseSuccessor(int shard, List<String> excluded) {
    List<Candidate> candidates = candidates(shard, population.workersByZone(shard));
    candidates.removeIf(candidate -> excluded.contains(candidate.node()));
    return OwnerSelector.best(candidates, 0).map(Candidate::node);
  }

  private List<Candidate> candidates(int shard, Map<String, Integer> workersByZone) {
    List<String> nodes = settings.nodes();
    int home = nodes.indexOf(shards.homeNode(shard));
    List<Candidate> candidates = new ArrayList<>();
    for (Settings.Member member : settings.members()) {
      String node = member.node();
      int distance = Math.floorMod(nodes.indexOf(node) - home, nodes.size());
      peers
          .freshReachability(node)
          .map(
              reachability ->
                  new Candidate(
                      node,
                      reachability.stateSteady(),
                      ReachabilityScore.of(workersByZone, reachability, shard),
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
    if (ownScore >= ReachabilityScore.UNKNOWN) {
      unreachableSinceMicros.remove(shard);
      return Optional.empty();
    }
    long sinceMicros = unreachableSinceMicros.computeIfAbsent(shard, s -> nowMicros);
    if (nowMicros - sinceMicros < feature.handover().offerAfterMicros()) {
      return Optional.empty();
    }
    return OwnerSelector.betterThan(candidates(shard, workersByZone), ownScore)
        .map(Candidate::node);
  }

  @Override
  public boolean mayReturnHome(int shard, String home) {
    Optional<PeerReachability> reachability = peers.freshReachability(home);
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

  /** Delays nodes that don't reach a shard's workers, so that nodes that do take over first. */
  @Override
  public long failoverDelayMicros(int shard) {
    int ownScore = reporter.score(shard, population.workersByZone(shard));
    boolean reachable = ownScore >= ReachabilityScore.UNKNOWN;
    return reachable ? 0 : FAILOVER_DELAY_INTERVALS * feature.links().heartbeatMicros();
  }

  /**
   * Returns true if the state service is unreachable from here, unless records of other controllers
   * arrive and none of these controllers reaches the state service.
   */
  @Override
  public boolean abandonsLease() {
    if (stateLink.usable() || !feature.handover().enabled()) {
      return false;
    }
    boolean anyRecordFresh = false;
    for (Settings.Member member : settings.members()) {
      Optional<PeerReachability> reachability = peers.freshReachability(member.node());
      if (reachability.isPresent() && reachability.get().stateSteady()) {
        return true;
      }
      anyRecordFresh |= reachability.isPresent();
    }
    return !anyRecordFresh;
  }
}
