package gladeknot.app;

import gladeknot.connectivity.ConnectivityMonitor;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.policy.Policy;
import gladeknot.settings.Features;
import gladeknot.settings.Settings;
import gladeknot.state.CacheLag;
import gladeknot.tracing.TaskTracer;
import java.util.Map;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The controller as a deterministic state machine: its inputs are the time, requests, replies and
 * messages of other controllers; its outputs are the calls, answers and messages in its {@link
 * Outbox}. Not thread-safe; all calls come from one event loop.
 */
public final class Controller {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_SECONDS = 1;
  private static final long MICROS_PER_MILLI = 1000;

  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

  private final Settings settings;
  private final Features features;
  private final Policy policy;
  private final RandomGenerator random;
  private final TaskTracer tracer;
  private final Outbox outbox = new Outbox();
  private ControllerComponents components;
  private RequestRouter router;

  /** Creates a controller without tracing. */
  public Controller(Settings settings, Features features, Policy policy, RandomGenerator random) {
    this(settings, features, policy, random, TaskTracer.NONE);
  }

  /** Creates a controller that stays inactive until the first {@link #tick}. */
  public Controller(
      Settings settings,
      Features features,
      Policy policy,
      RandomGenerator random,
      TaskTracer tracer) {
    policy.setSettings(settings);
    this.settings = settings;
    this.features = features;
    this.policy = policy;
    this.random = random;
    this.tracer = tracer;
    build(settings.nodes().size());
  }

  private void build(int shardCount) {
    components =
        new ControllerComponents(settings, shardCount, outbox, features, policy, random, tracer);
    router =
        new RequestRouter(
            outbox, this::answerHealth, components.jobRequests, components.heartbeats);
  }

  /**
   * Builds the components anew if another number of shards is stored than they work with. They have
   * not acted yet, because they hold no lease before the numbers agree.
   */
  private void followStoredShardCount() {
    OptionalInt stored = components.membership.otherShardCount();
    if (stored.isPresent()) {
      LOG.info(
          "shard count differs from settings stored={} members={}",
          stored.getAsInt(),
          settings.nodes().size());
      outbox.abandonCalls();
      build(stored.getAsInt());
    }
  }

  /** Returns the outbox, which holds the calls and answers to send and accepts replies to calls. */
  public Outbox outbox() {
    return outbox;
  }

  /** Returns how often a team's quota was found exceeded, in a shard or by the quota record. */
  public long quotaViolations() {
    return components.quota.violations();
  }

  /**
   * Returns how often a job was found with a task in two slices, or with a slice in two records.
   */
  public long sliceViolations() {
    return components.lifecycle.sliceViolations();
  }

  /**
   * Returns the status for operators: links, authority, quota, lag of the watch cache, and slices.
   * Empty if the feature {@code partial-cuts} is off.
   */
  public Map<String, Object> status() {
    Map<String, Object> status =
        components.connectivity.map(ConnectivityMonitor::status).orElse(Map.of());
    if (!status.isEmpty()) {
      status.put("quota", components.quota.status());
      status.put("copy", cacheStatus());
      status.put("slices", Json.of("violations", sliceViolations()));
    }
    return status;
  }

  private Map<String, Object> cacheStatus() {
    CacheLag lag = components.stateStore.lag();
    return Json.of(
        "revision",
        lag.revision(),
        "newestCommit",
        lag.newestCommit(),
        "revisionsBehind",
        lag.revisionsBehind(),
        "longestLagMs",
        lag.longestMicros() / MICROS_PER_MILLI);
  }

  /**
   * Advances the time and runs everything that is due.
   *
   * @param nowMicros time of the monotonic clock, in microseconds
   * @param wallMicros time of day, in microseconds since 1970
   */
  public void tick(long nowMicros, long wallMicros) {
    // Set first, so that every component checks leases against this time, also after a stall.
    components.membership.setTime(nowMicros);
    tracer.setTime(wallMicros);
    components.connectivity.ifPresent(monitor -> monitor.tick(nowMicros, wallMicros));
    components.slices.tick(nowMicros);
    components.stateStore.tick(nowMicros);
    components.membership.tick(nowMicros);
    components.heartbeats.tick(nowMicros);
    components.jobRequests.tick(nowMicros, wallMicros);
    components.lifecycle.tick(nowMicros, wallMicros);
    components.quota.tick(nowMicros);
    components.scheduler.tick(nowMicros, wallMicros);
    components.fleet.tick(nowMicros, wallMicros);
    components.committer.tick(nowMicros);
    components.archiver.tick(nowMicros);
    followStoredShardCount();
  }

  /** Handles a message from another controller. */
  public void onPeerMessage(PeerMessage message) {
    components.quota.onPeerMessage(message);
    components.lifecycle.onCancelledElsewhere(message.cancelledJobs());
    components.connectivity.ifPresent(monitor -> monitor.onPeerMessage(message));
  }

  /** Handles a request; the outbox later holds its answer under the same request number. */
  public void onRequest(long request, String method, String uri, byte[] body) {
    router.route(request, method, uri, body);
  }

  private void answerHealth(long request) {
    boolean ready =
        components.stateStore.loaded()
            && components.membership.mayAct()
            && components.catalog.isKnown();
    if (ready) {
      outbox.answer(request, OK, Json.of("ok", true));
    } else {
      outbox.retryLater(request, UNAVAILABLE, "not ready", RETRY_AFTER_SECONDS);
    }
  }
}
