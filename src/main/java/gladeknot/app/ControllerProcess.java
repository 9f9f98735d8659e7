package gladeknot.app;

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
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the core on one event loop: carries its calls and answers out, lets its time pass. */
public final class ControllerProcess {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerProcess.class);
  private static final long TICK_MS = 50;

  /** Sockets kept for calls to other services. */
  private static final int OWN_SOCKETS = 100;

  private final Settings settings;
  private final Features features;
  private final Controller core;
  private final EventLoopGroup group;
  private final HttpServer server;
  private final HttpCaller caller;
  private final PeerLinks peers;
  private boolean draining;

  /** Prepares a controller; it begins to serve when it is started. */
  public ControllerProcess(Settings settings, Features features, Policy policy, TaskTracer tracer) {
    this.settings = settings;
    this.features = features;
    long seed = settings.node().hashCode() * 31L + System.nanoTime();
    this.core = new Controller(settings, features, policy, new SplittableRandom(seed), tracer);
    this.group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    int most = Math.max(50, settings.maxConnections() - OWN_SOCKETS);
    this.server = new HttpServer(this::request, most);
    this.caller = new HttpCaller(group, this::reply);
    this.peers = new PeerLinks(settings, group, core::onPeerMessage);
  }

  /** Starts; the event loop's thread keeps the process running. */
  public void start() {
    String listen = settings.clientListen();
    int colon = listen.lastIndexOf(':');
    server.listen(group, listen.substring(0, colon), Integer.parseInt(listen.substring(colon + 1)));
    peers.listen();
    LOG.info("{} listens on {}", settings.node(), listen);
    features
        .partialCuts()
        .flatMap(PartialCuts::status)
        .ifPresent(status -> new StatusListener(core::status).listen(group, status.listen()));
    group.next().execute(this::tick);
  }

  private void tick() {
    try {
      core.tick(now(), System.currentTimeMillis() * 1000);
      drain();
    } catch (RuntimeException e) {
      LOG.error("tick failed", e);
    }
    group.next().schedule(this::tick, TICK_MS, TimeUnit.MILLISECONDS);
  }

  private static long now() {
    return System.nanoTime() / 1000;
  }

  private void request(long id, String method, String path, byte[] body) {
    try {
      core.tick(now(), System.currentTimeMillis() * 1000);
      core.onRequest(id, method, path, body);
    } catch (RuntimeException e) {
      LOG.error("{} {} failed", method, path, e);
      core.outbox().retryLater(id, 503, "internal error", 1);
    }
    drain();
  }

  private void reply(long id, Outbox.Reply reply) {
    try {
      core.tick(now(), System.currentTimeMillis() * 1000);
      core.outbox().reply(id, reply);
    } catch (RuntimeException e) {
      LOG.error("reply failed", e);
    }
    drain();
  }

  private void drain() {
    if (draining) {
      return;
    }
    draining = true;
    try {
      boolean more = true;
      while (more) {
        var answers = core.outbox().drainAnswers();
        var calls = core.outbox().drainCalls();
        answers.forEach(server::answer);
        calls.forEach(caller::call);
        core.outbox().drainPeerMessages().forEach(peers::send);
        more = !answers.isEmpty() || !calls.isEmpty();
      }
    } finally {
      draining = false;
    }
  }
}
