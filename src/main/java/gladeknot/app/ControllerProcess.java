package gladeknot.app;

import gladeknot.errors.FatalErrors;
import gladeknot.http.HttpCaller;
import gladeknot.http.HttpServer;
import gladeknot.outbox.Outbox;
import gladeknot.peer.PeerLinks;
import gladeknot.policy.Policy;
import gladeknot.settings.Features;
import gladeknot.settings.PartialCuts;
import gladeknot.settings.Settings;
import gladeknot.tracing.TaskTracer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the controller on one event loop: sends its calls and answers, and calls its tick regularly.
 * The only class that catches RuntimeException, because a fault in one event must not stop the
 * handling of later events. An Error ends the process.
 */
public final class ControllerProcess {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerProcess.class);
  private static final long TICK_INTERVAL_MILLIS = 50;

  /** Sockets reserved for calls to other services. */
  private static final int RESERVED_SOCKETS = 100;

  private static final int MIN_CONNECTIONS = 50;
  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_SECONDS = 1;

  private final Settings settings;
  private final Features features;
  private final Controller controller;
  private final EventLoopGroup group;
  private final HttpServer server;
  private final HttpCaller caller;
  private final PeerLinks peerLinks;
  private boolean draining;

  /** Creates a controller that serves once {@link #start} is called. */
  public ControllerProcess(Settings settings, Features features, Policy policy, TaskTracer tracer) {
    this.settings = settings;
    this.features = features;
    long seed = settings.node().hashCode() * 31L + System.nanoTime();
    this.controller =
        new Controller(settings, features, policy, new SplittableRandom(seed), tracer);
    this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    int maxServerConnections =
        Math.max(MIN_CONNECTIONS, settings.maxConnections() - RESERVED_SOCKETS);
    this.server = new HttpServer(this::onRequest, maxServerConnections);
    this.caller = new HttpCaller(group, this::onReply);
    this.peerLinks = new PeerLinks(settings, group, controller::onPeerMessage);
  }

  /** Starts listeners and ticks; the event loop's thread keeps the process running. */
  public void start() {
    ListenAddress address = ListenAddress.parse(settings.clientListen());
    server.listen(group, address.host(), address.port());
    peerLinks.listen();
    LOG.info("controller listening node={} address={}", settings.node(), settings.clientListen());
    features
        .partialCuts()
        .flatMap(PartialCuts::status)
        .ifPresent(status -> new StatusListener(controller::status).listen(group, status.listen()));
    group.next().execute(this::onTick);
  }

  private void onTick() {
    try {
      tick();
      drain();
    } catch (RuntimeException e) {
      LOG.error("event failed event=tick", e);
    } catch (Error e) {
      FatalErrors.exit("periodic-work", e);
    }
    group.next().schedule(this::onTick, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    controller.tick(System.nanoTime() / 1000, System.currentTimeMillis() * 1000);
  }

  private void onRequest(long request, String method, String path, byte[] body) {
    try {
      tick();
      controller.onRequest(request, method, path, body);
    } catch (RuntimeException e) {
      LOG.error("event failed event=request method={} path={}", method, path, e);
      controller.outbox().retryLater(request, UNAVAILABLE, "internal error", RETRY_AFTER_SECONDS);
    } catch (Error e) {
      FatalErrors.exit("request", e);
    }
    drain();
  }

  private void onReply(long call, Outbox.Reply reply) {
    try {
      tick();
      controller.outbox().reply(call, reply);
    } catch (RuntimeException e) {
      LOG.error("event failed event=reply call={} status={}", call, reply.status(), e);
    } catch (Error e) {
      FatalErrors.exit("reply", e);
    }
    drain();
  }

  /**
   * Sends everything in the controller's outbox. A reply that arrives during the loop may add to
   * the outbox; the nested drain then returns at once, and the loop sends the addition.
   */
  private void drain() {
    if (draining) {
      return;
    }
    draining = true;
    try {
      boolean more = true;
      while (more) {
        List<Outbox.Answer> answers = controller.outbox().drainAnswers();
        List<Outbox.Call> calls = controller.outbox().drainCalls();
        answers.forEach(server::answer);
        calls.forEach(caller::call);
        controller.outbox().drainPeerMessages().forEach(peerLinks::send);
        more = !answers.isEmpty() || !calls.isEmpty();
      }
    } finally {
      draining = false;
    }
  }
}
