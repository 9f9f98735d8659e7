package gladeknot.connectivity;

import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.peer.PeerReachability;
import gladeknot.settings.PartialCuts;
import gladeknot.settings.Settings;
import java.util.Map;
import java.util.Optional;

/**
 * Observes this controller's links, reports to the others what it reaches, and advises by that who
 * should own a shard and whether new actions may be taken. The feature {@code partial-cuts}.
 */
public final class ConnectivityMonitor
    implements Authority.StateLink, FailoverAdvisor, HeartbeatObserver {
  private static final long UPDATE_INTERVAL_MICROS = 100_000;

  private final Settings settings;
  private final PartialCuts feature;
  private final Outbox outbox;
  private final LinkTable links;
  private final ServiceLinkObserver services;
  private final WorkerLinkObserver workers;
  private final PeerLinkObserver peers;
  private final CanaryProbe canary = new CanaryProbe();
  private final AuthorityLog authorityLog = new AuthorityLog();
  private ShardView shards;
  private Authority authority;
  private ShardPopulation population;
  private FailoverOffers offers;
  private ReachReporter reporter;
  private ReachFailoverAdvisor advisor;
  private Optional<LinkTable.DirectionState> stateFault = Optional.empty();
  private long nowMicros;
  private long wallMicros;
  private long nextUpdateMicros;
  private boolean begun;

  /** A monitor that has observed nothing yet; {@link #attach} completes it. */
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

  /**
   * Connects it with the shards that it advises on and the authority that it reports, both of which
   * need the monitor itself to be constructed. Must come before the first tick.
   */
  public void attach(ShardView shardView, Authority shardAuthority) {
    shards = shardView;
    authority = shardAuthority;
    population = new ShardPopulation(shards, workers);
    offers = new FailoverOffers(settings.node(), shards, links, feature);
    reporter =
        new ReachReporter(
            settings.node(),
            outbox,
            links,
            workers,
            peers,
            offers,
            feature.links().heartbeatMicros());
    advisor =
        new ReachFailoverAdvisor(
            settings, feature, shards, population, peers, reporter, offers, canary, this);
  }

  @Override
  public void onHeartbeat(Arrival arrival) {
    workers.onHeartbeat(arrival);
    if (arrival.owned() && canary.failedBy(arrival.shard(), arrival.host())) {
      advisor.keepLonger(arrival.shard());
    }
  }

  @Override
  public void onAnswered(String host) {
    workers.onAnswered(host);
  }

  @Override
  public String redirect(Arrival arrival, boolean idle) {
    String home = shards.homeNode(arrival.shard());
    boolean awayFromHome = !settings.node().equals(home);
    boolean selected = awayFromHome && canary.selectAsCanary(arrival.shard(), arrival.host(), idle);
    return selected ? home : null;
  }

  /** Advances the time; both clocks in microseconds, the steady one and the time of day. */
  public void tick(long now, long wall) {
    nowMicros = now;
    wallMicros = wall;
    if (!begun) {
      begun = true;
      peers.begin(wall);
    }
    services.setTime(now);
    workers.tick(now);
    peers.tick(now);
    advisor.setTime(now);
    if (now >= nextUpdateMicros) {
      nextUpdateMicros = now + UPDATE_INTERVAL_MICROS;
      update();
    }
  }

  private void update() {
    population.tick(nowMicros);
    links.update(nowMicros);
    stateFault = links.unreachable(LinkId.STATE);
    canary.tick(nowMicros).ifPresent(advisor::keepLonger);
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      authorityLog.observe(shard, authority, wallMicros);
    }
    boolean offersChanged =
        feature.handover().enabled() && offers.tick(nowMicros, advisor::chooseTaker);
    if (offersChanged || reporter.isDue(nowMicros)) {
      reporter.report(nowMicros);
    }
  }

  /** A shard is owned now. */
  public void onAcquired(int shard) {
    advisor.onAcquired(shard);
  }

  /** A shard is not owned any more. */
  public void onReleased(int shard) {
    workers.onReleased(shard);
    canary.forget(shard);
    advisor.onReleased(shard);
  }

  /** Takes in a record of another controller; messages of others than members are ignored. */
  public void onPeerMessage(PeerMessage message) {
    if (message.reachability().isEmpty() || !isMember(message.from())) {
      return;
    }
    PeerReachability reachability = message.reachability().get();
    if (peers.onReach(message.from(), reachability)
        && feature.handover().enabled()
        && offers.onReach(message.from(), reachability)) {
      reporter.report(nowMicros);
    }
  }

  private boolean isMember(String node) {
    return settings.members().stream().anyMatch(member -> member.node().equals(node));
  }

  @Override
  public Optional<String> preferredOwner(int shard) {
    return advisor.preferredOwner(shard);
  }

  @Override
  public boolean mayReturnHome(int shard, String home) {
    return advisor.mayReturnHome(shard, home);
  }

  @Override
  public boolean relinquishedToThisNode(int shard, long incarnation, long term) {
    return advisor.relinquishedToThisNode(shard, incarnation, term);
  }

  @Override
  public long failoverDelayMicros(int shard) {
    return advisor.failoverDelayMicros(shard);
  }

  @Override
  public boolean abandonsLease() {
    return advisor.abandonsLease();
  }

  @Override
  public boolean usable() {
    return stateFault.isEmpty();
  }

  @Override
  public String fault() {
    return stateFault.map(state -> StatusReport.describe(state, nowMicros)).orElse("");
  }

  /** What operators are shown. */
  public Map<String, Object> status() {
    return new StatusReport(settings, shards, authority, links, peers)
        .build(offers.offers(), authorityLog.last(), nowMicros, wallMicros);
  }
}
