package gladeknot.connectivity;

import gladeknot.connectivity.OwnerSelector.Candidate;
import gladeknot.connectivity.ShardView.WorkerAddress;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.peer.PeerReach;
import gladeknot.peer.PeerReach.ShardContact;
import gladeknot.peer.PeerReach.ZoneReach;
import gladeknot.settings.PartialCuts;
import gladeknot.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Follows this controller's links, tells the others what it reaches, and advises by that who should
 * own a shard and whether new orders may be given. The feature {@code partial-cuts}.
 */
public final class ConnectivityMonitor
    implements Authority.StateLink, FailoverAdvisor, HeartbeatObserver {
  private static final long UPDATE_MICROS = 100_000;

  /** Between two counts of the shards' workers. */
  private static final long COUNT_MICROS = 1_000_000;

  private final Settings settings;
  private final PartialCuts feature;
  private final Outbox outbox;
  private final LinkTable links;
  private final ServiceLinkObserver services;
  private final WorkerLinkObserver workers;
  private final PeerLinkObserver peers;
  private final CanaryProbe canary = new CanaryProbe();
  private final AuthorityLog log = new AuthorityLog();
  private final Map<Integer, Map<String, Integer>> zonesOfShards = new HashMap<>();
  private final Map<Integer, Long> keepUntilMicros = new HashMap<>();
  private final Map<Integer, Long> unreachedSince = new HashMap<>();
  private ShardView shards;
  private Authority authority;
  private ShardOffers offers;
  private LinkTable.DirectionState stateFault;
  private long nowMicros;
  private long wallMicros;
  private long nextUpdateMicros;
  private long nextCountMicros;
  private long nextHeartbeatMicros;
  private boolean begun;

  /** A shard whose home fails again and again is kept twice as long each time, so often. */
  private static final int MAX_DOUBLINGS = 3;

  /** A monitor that has seen nothing yet; {@link #attach} completes it. */
  public ConnectivityMonitor(Settings settings, PartialCuts feature, Outbox outbox) {
    this.settings = settings;
    this.feature = feature;
    this.outbox = outbox;
    this.links = new LinkTable(feature);
    this.services = new ServiceLinkObserver(settings, links);
    this.workers = new WorkerLinkObserver(settings, links);
    this.peers = new PeerLinkObserver(settings.node(), feature.links().heartbeatMicros(), links);
    outbox.observe(services);
  }

  /** Gives it the shards that it is to advise on, and the authority that it is to tell of. */
  public void attach(ShardView shardView, Authority shardAuthority) {
    shards = shardView;
    authority = shardAuthority;
    offers = new ShardOffers(settings.node(), shards, links, feature);
  }

  @Override
  public void onHeartbeat(Arrival arrival) {
    workers.onHeartbeat(arrival);
    if (arrival.owned() && canary.failed(arrival.shard(), arrival.host())) {
      keepLonger(arrival.shard());
    }
  }

  @Override
  public void onAnswered(String host) {
    workers.onAnswered(host);
  }

  @Override
  public String redirect(Arrival arrival, boolean idle) {
    String home = shards.home(arrival.shard());
    boolean away = !settings.node().equals(home);
    return away && canary.send(arrival.shard(), arrival.host(), idle) ? home : null;
  }

  /** Lets time pass; both clocks in microseconds, the steady one and the time of day. */
  public void tick(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    if (!begun) {
      begun = true;
      peers.begin(wall);
    }
    services.now(now);
    workers.tick(now);
    peers.tick(now);
    if (now < nextUpdateMicros) {
      return;
    }
    nextUpdateMicros = now + UPDATE_MICROS;
    if (now >= nextCountMicros) {
      nextCountMicros = now + COUNT_MICROS;
      countWorkers();
    }
    links.update(now);
    stateFault = links.unreachable(LinkId.STATE);
    int failed = canary.tick(now);
    if (failed >= 0) {
      keepLonger(failed);
    }
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      log.look(shard, authority, wall);
    }
    boolean offered = feature.handover().enabled() && offers.tick(now, this::chooseTaker);
    if (offered || now >= nextHeartbeatMicros) {
      tell();
    }
  }

  /**
   * Counts the workers of each shard by zone, and forgets those that were given back or lent: they
   * say nothing of our links by their silence.
   */
  private void countWorkers() {
    Set<String> ours = new HashSet<>();
    zonesOfShards.clear();
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      boolean own = shards.isOwned(shard);
      Map<String, Integer> zones = new HashMap<>();
      for (WorkerAddress worker : shards.workers(shard)) {
        zones.merge(worker.zone(), 1, Integer::sum);
        if (own) {
          ours.add(worker.host());
        }
      }
      zonesOfShards.put(shard, zones);
    }
    for (String host : workers.ours()) {
      if (!ours.contains(host)) {
        workers.forget(host);
      }
    }
  }

  /** A shard has become ours; who got it from an owner that is alive keeps it for a while. */
  public void onAcquired(int shard) {
    String from = offers.ownerBefore(shard);
    boolean handedOver = from != null && peers.freshReach(from) != null;
    keepUntilMicros.remove(shard);
    if (handedOver && !settings.node().equals(shards.home(shard))) {
      keepLonger(shard);
    }
  }

  /** Keeps a shard from going home for a while, twice as long each time. */
  private void keepLonger(int shard) {
    int times = Math.min(MAX_DOUBLINGS, offers.failedAtHome(shard));
    keepUntilMicros.put(shard, nowMicros + (feature.handover().keepMicros() << times));
  }

  /** A shard has ceased to be ours. */
  public void onReleased(int shard) {
    workers.lost(shard);
    canary.forget(shard);
    unreachedSince.remove(shard);
  }

  /** Takes in what another controller tells. */
  public void onPeerMessage(PeerMessage message) {
    if (message.reach().isEmpty() || !isMember(message.from())) {
      return;
    }
    PeerReach reach = message.reach().get();
    if (peers.received(message.from(), reach)
        && feature.handover().enabled()
        && offers.received(message.from(), reach)) {
      tell();
    }
  }

  private boolean isMember(String node) {
    return settings.members().stream().anyMatch(m -> m.node().equals(node));
  }

  private void tell() {
    nextHeartbeatMicros = nowMicros + feature.links().heartbeatMicros();
    PeerReach reach =
        new PeerReach(
            peers.life(),
            peers.nextSequence(),
            links.steady(LinkId.STATE),
            peers.heard(),
            zones(),
            contacts(),
            offers.offers(),
            offers.accepts());
    outbox.sendToPeers(PeerMessage.ofReach(settings.node(), reach));
  }

  private List<ZoneReach> zones() {
    Map<String, Integer> percents = new TreeMap<>();
    for (LinkTable.DirectionState state : links.all()) {
      if (state.link().kind() == LinkId.Kind.WORKERS) {
        percents.merge(state.link().name(), ReachScore.of(state.verdict()), Math::min);
      }
    }
    return percents.entrySet().stream()
        .limit(PeerReach.MAX_ENTRIES)
        .map(e -> new ZoneReach(e.getKey(), e.getValue()))
        .toList();
  }

  private List<ShardContact> contacts() {
    return workers.strays().entrySet().stream()
        .limit(PeerReach.MAX_ENTRIES)
        .map(e -> new ShardContact(e.getKey(), e.getValue()))
        .toList();
  }

  private Map<String, Integer> workersByZone(int shard) {
    return zonesOfShards.getOrDefault(shard, Map.of());
  }

  private List<Candidate> candidates(int shard, Map<String, Integer> zones) {
    List<String> ring = settings.nodes();
    int home = ring.indexOf(shards.home(shard));
    List<Candidate> candidates = new ArrayList<>();
    for (Settings.Member member : settings.members()) {
      PeerReach reach = peers.freshReach(member.node());
      if (reach != null) {
        int distance = Math.floorMod(ring.indexOf(member.node()) - home, ring.size());
        candidates.add(
            new Candidate(
                member.node(), reach.stateSteady(), ReachScore.of(zones, reach, shard), distance));
      }
    }
    return candidates;
  }

  private Optional<String> chooseTaker(int shard, List<String> leftOut) {
    List<Candidate> candidates = candidates(shard, workersByZone(shard));
    candidates.removeIf(c -> leftOut.contains(c.node()));
    return OwnerSelector.best(candidates, 0).map(Candidate::node);
  }

  private int ownScore(int shard, Map<String, Integer> zones) {
    return ReachScore.of(zones, zones(), contacts(), shard);
  }

  @Override
  public String preferredOwner(int shard) {
    if (!feature.handover().enabled()) {
      return null;
    }
    Map<String, Integer> zones = workersByZone(shard);
    int own = ownScore(shard, zones);
    if (own >= ReachScore.UNKNOWN) {
      unreachedSince.remove(shard);
      return null;
    }
    long since = unreachedSince.computeIfAbsent(shard, s -> nowMicros);
    if (nowMicros - since < feature.handover().offerAfterMicros()) {
      return null;
    }
    return OwnerSelector.better(candidates(shard, zones), own).map(Candidate::node).orElse(null);
  }

  @Override
  public boolean mayReturnHome(int shard, String home) {
    PeerReach reach = peers.freshReach(home);
    if (!feature.handover().enabled() || reach == null) {
      return true;
    }
    Long until = keepUntilMicros.get(shard);
    if (until == null) {
      return true;
    }
    return nowMicros >= until
        && reach.stateSteady()
        && !offers.suppressed(shard)
        && (workersByZone(shard).isEmpty() || canary.passed(shard));
  }

  @Override
  public boolean yieldedToThisNode(int shard, long incarnation, long term) {
    return feature.handover().enabled() && offers.yieldedToUs(shard, incarnation, term);
  }

  /** Who does not reach a shard's workers lets those who do go first. */
  @Override
  public long failoverDelayMicros(int shard) {
    boolean reached = ownScore(shard, workersByZone(shard)) >= ReachScore.UNKNOWN;
    return reached ? 0 : 2 * feature.links().heartbeatMicros();
  }

  /** Unless the others, as far as they are heard, don't reach the state service either. */
  @Override
  public boolean abandonsLease() {
    if (usable() || !feature.handover().enabled()) {
      return false;
    }
    List<PeerReach> heard =
        settings.members().stream()
            .map(m -> peers.freshReach(m.node()))
            .filter(Objects::nonNull)
            .toList();
    return heard.isEmpty() || heard.stream().anyMatch(PeerReach::stateSteady);
  }

  @Override
  public boolean usable() {
    return stateFault == null;
  }

  @Override
  public String fault() {
    return stateFault == null ? "" : StatusReport.describe(stateFault, nowMicros);
  }

  /** What operators are shown. */
  public Map<String, Object> status() {
    return new StatusReport(settings, shards, authority, links, peers)
        .build(offers.offers(), log.last(), nowMicros, wallMicros);
  }
}
