package gladeknot.app;

import gladeknot.connectivity.ConnectivityMonitor;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerMessage;
import gladeknot.policy.Policy;
import gladeknot.settings.Features;
import gladeknot.settings.Settings;
import gladeknot.state.CopyLag;
import gladeknot.tracing.TaskTracer;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * The whole controller as a state machine: time, requests and replies go in, calls and answers come
 * out of its {@link Outbox}. Not thread-safe; one event loop calls it.
 */
public final class Controller {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_SECONDS = 1;
  private static final long MICROS_A_MILLI = 1000;

  private final ControllerComponents components;
  private final RequestRouter router;
  private final TaskTracer tracer;

  /** A controller that traces nothing. */
  public Controller(Settings settings, Features features, Policy policy, RandomGenerator random) {
    this(settings, features, policy, random, TaskTracer.NONE);
  }

  /** A controller; nothing happens before the first {@link #tick}. */
  public Controller(
      Settings settings,
      Features features,
      Policy policy,
      RandomGenerator random,
      TaskTracer tracer) {
    policy.setSettings(settings);
    this.tracer = tracer;
    this.components = new ControllerComponents(settings, features, policy, random, tracer);
    this.router =
        new RequestRouter(
            components.outbox, this::answerHealth, components.jobRequests, components.heartbeats);
  }

  /** The calls and answers that are to be carried out, and the way back for replies. */
  public Outbox outbox() {
    return components.outbox;
  }

  /** How often a team's quota was found exceeded, in a shard or by its record. */
  public long quotaViolations() {
    return components.quota.violations();
  }

  /** How often a job was found whose tasks belong to two slices, or a slice to two records. */
  public long sliceViolations() {
    return components.lifecycle.sliceViolations();
  }

  /**
   * What operators are shown of links, authority, quota, the copy of the state and slices; empty
   * without the feature.
   */
  public Map<String, Object> status() {
    Map<String, Object> status =
        components.connectivity.map(ConnectivityMonitor::status).orElse(Map.of());
    if (!status.isEmpty()) {
      status.put("quota", components.quota.status());
      status.put("copy", copyStatus());
      status.put("slices", Json.of("violations", sliceViolations()));
    }
    return status;
  }

  private Map<String, Object> copyStatus() {
    CopyLag lag = components.stateStore.lag();
    return Json.of(
        "revision",
        lag.revision(),
        "newestCommit",
        lag.newestCommit(),
        "revisionsBehind",
        lag.revisionsBehind(),
        "longestLagMs",
        lag.longestMicros() / MICROS_A_MILLI);
  }

  /**
   * Advances the time and does what is due.
   *
   * @param nowMicros the steady clock, in microseconds
   * @param wallMicros the time of day, in microseconds since 1970
   */
  public void tick(long nowMicros, long wallMicros) {
    // First of all what the others are entitled to is judged by this time, also after a stall.
    components.membership.setTime(nowMicros);
    tracer.now(wallMicros);
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
  }

  /** Takes in a message of another controller. */
  public void onPeerMessage(PeerMessage message) {
    components.quota.onPeerMessage(message);
    components.lifecycle.onCancelledElsewhere(message.cancelledJobs());
    components.connectivity.ifPresent(monitor -> monitor.onPeerMessage(message));
  }

  /** Takes a request; its answer comes out of the outbox under the same number. */
  public void onRequest(long request, String method, String uri, byte[] body) {
    router.route(request, method, uri, body);
  }

  private void answerHealth(long request) {
    boolean ready =
        components.stateStore.loaded()
            && components.membership.mayAct()
            && components.catalog.isKnown();
    if (ready) {
      components.outbox.answer(request, OK, Json.of("ok", true));
    } else {
      components.outbox.retryLater(request, UNAVAILABLE, "not ready", RETRY_AFTER_SECONDS);
    }
  }
}
