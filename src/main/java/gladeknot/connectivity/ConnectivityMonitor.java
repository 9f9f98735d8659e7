package gladeknot.connectivity;

import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.peer.PeerReachability;
import gladeknot.settings.PartialCuts;
import gladeknot.settings.Settings;
import java.util.Map;
import java.util.Optional;

/**
 * Observes this controller's links and reports its reachability to the other controllers. Based on
 * this, advises which controller should own a shard and whether new actions may be taken.
 * Implements the feature {@code partial-cuts}.
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
  private final CanaryProbe canaryProbe = new CanaryProbe();
  private final AuthorityLog authorityLog = new AuthorityLog();
  private ShardView shards;
  private Authority authority;
  private ShardPopulation population;
  private FailoverOffers offers;
  private ReachabilityReporter reporter;
  private ReachabilityFailoverAdvisor advisor;
  private Optional<LinkTable.DirectionState> stateLinkFault = Optional.empty();
  private long nowMicros;
  private long wallMicros;
  private long nextUpdateMicros;
  private boolean started;

  /** Creates a monitor without observations; {@link #attach} completes it. */
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
   * Sets the shards that the monitor advises on and the authority that it reports. Both are passed
   * here because their construction needs the monitor. Must be called before the first tick.
   */
  public void attach(ShardView shardView, Authority shardAuthority) {
    shards = shardView;
    authority = shardAuthority;
    population = new ShardPopulation(shards, workers);
    offers = new FailoverOffers(settings.node(), shards, links, feature);
    reporter =
        new ReachabilityReporter(
            settings.node(),
            outbox,
            links,
            workers,
            peers,
            offers,
            feature.links().heartbeatMicros());
    advisor =
        new ReachabilityFailoverAdvisor(
            settings, feature, shards, population, peers, reporter, offers, canaryProbe, this);
  }

  @Override
  public void onHeartbeat(Arrival arrival) {
    workers.onHeartbeat(arrival);
    if (arrival.owned() && canaryProbe.onHeartbeat(arrival.shard(), arrival.host())) {
      advisor.extendKeepTime(arrival.shard());
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
    boolean selected =
        awayFromHome && canaryProbe.selectAsCanary(arrival.shard(), arrival.host(), idle);
    return selected ? home : null;
  }

  /**
   * Advances the time.
   *
   * @param steadyMicros the steady clock
   * @param timeOfDayMicros the time of day
   */
  public void tick(long steadyMicros, long timeOfDayMicros) {
    nowMicros = steadyMicros;
    wallMicros = timeOfDayMicros;
    if (!started) {
      started = true;
      peers.begin(timeOfDayMicros);
    }
    services.setTime(steadyMicros);
    workers.tick(steadyMicros);
    peers.tick(steadyMicros);
    advisor.setTime(steadyMicros);
    if (steadyMicros >= nextUpdateMicros) {
      nextUpdateMicros = steadyMicros + UPDATE_INTERVAL_MICROS;
      update();
    }
  }

  private void update() {
    population.tick(nowMicros);
    links.update(nowMicros);
    stateLinkFault = links.unreachableDirection(LinkId.STATE);
    canaryProbe.tick(nowMicros).ifPresent(advisor::extendKeepTime);
    for (int shard = 0; shard < shards.shardCount(); shard++) {
      authorityLog.observe(shard, authority, wallMicros);
    }
    boolean offersChanged =
        feature.handover().enabled() && offers.tick(nowMicros, advisor::chooseSuccessor);
    if (offersChanged || reporter.isDue(nowMicros)) {
      reporter.report(nowMicros);
    }
  }

  /** Called when this controller has become the owner of a shard. */
  public void onAcquired(int shard) {
    advisor.onAcquired(shard);
  }

  /** Called when this controller is no longer the owner of a shard. */
  public void onReleased(int shard) {
    workers.onReleased(shard);
    canaryProbe.remove(shard);
    advisor.onReleased(shard);
  }

  /** Handles a message of another controller; messages of non-members are ignored. */
  public void onPeerMessage(PeerMessage message) {
    if (message.reachability().isEmpty() || !isMember(message.from())) {
      return;
    }
    PeerReachability reachability = message.reachability().get();
    if (peers.onReachability(message.from(), reachability)
        && feature.handover().enabled()
        && offers.onReachability(message.from(), reachability)) {
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
    return stateLinkFault.isEmpty();
  }

  @Override
  public String fault() {
    return stateLinkFault.map(state -> StatusReport.describe(state, nowMicros)).orElse("");
  }

  /** Returns the status for operators. */
  public Map<String, Object> status() {
    return new StatusReport(settings, shards, authority, links, peers)
        .build(offers.offers(), authorityLog.recentChanges(), nowMicros, wallMicros);
  }
}
