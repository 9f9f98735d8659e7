package gladeknot.workers;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distinguishes a delayed or duplicate heartbeat from the heartbeat of a restarted machine, whose
 * counters begin again. To do so, it requests the worker's status.
 */
final class RestartProbe {
  private static final Logger LOG = LoggerFactory.getLogger(RestartProbe.class);

  /** Minimum interval between two probes of a worker, and the timeout of each probe. */
  private static final long PROBE_INTERVAL_MICROS = 2_000_000;

  /** Minimum interval between two terms that are drawn for a shard because of restarts. */
  private static final long RAISE_INTERVAL_MICROS = 10_000_000;

  private static final int OK = 200;

  private final Membership membership;
  private final Outbox outbox;
  private final HeartbeatHandler.Reconciler reconciler;

  /** Shards that need a new term. */
  private final Set<Integer> raisesDue = new HashSet<>();

  /** Earliest time of the next new term, by shard. */
  private final Map<Integer, Long> nextRaiseMicros = new HashMap<>();

  RestartProbe(Membership membership, Outbox outbox, HeartbeatHandler.Reconciler reconciler) {
    this.membership = membership;
    this.outbox = outbox;
    this.reconciler = reconciler;
  }

  /**
   * Probes a worker at the endpoint from its heartbeat, unless the worker was probed within the
   * interval.
   */
  void probe(Worker worker, String endpoint, long nowMicros) {
    if (!worker.tryProbe(nowMicros, PROBE_INTERVAL_MICROS)) {
      return;
    }
    Heartbeat last = worker.heartbeat();
    outbox.call(
        endpoint,
        "GET",
        "/status",
        null,
        PROBE_INTERVAL_MICROS,
        reply -> {
          if (reply.status() == OK && worker.heartbeat() == last) {
            onStatus(worker, last, reply);
          }
        });
  }

  private void onStatus(Worker worker, Heartbeat last, Outbox.Reply reply) {
    try {
      Heartbeat status = HeartbeatCodec.read(reply.object());
      if (status.host().equals(worker.host()) && showsRestart(last, status)) {
        onRestart(worker, status);
      }
    } catch (MalformedHeartbeatException e) {
      LOG.info("worker status rejected worker={} error={}", worker.host(), e.getMessage());
    }
  }

  /**
   * Returns whether a message that was sent after the last heartbeat shows that the machine has
   * restarted in between: its counters or its highest token are lower.
   */
  static boolean showsRestart(Heartbeat last, Heartbeat later) {
    return last.isNewerThan(later.incarnation(), later.sequence())
        || (later.incarnation() == last.incarnation()
            && later.fencingToken() < last.fencingToken());
  }

  /**
   * Handles the restart of a machine. Heartbeats from before may still arrive, and their order no
   * longer shows that they are old. A new term tells them from those that are sent from now on.
   */
  void onRestart(Worker worker) {
    LOG.info("worker restarted worker={} shard={}", worker.host(), worker.shard());
    worker.onRestart(membership.term(worker.shard()));
    raisesDue.add(worker.shard());
  }

  /**
   * Has new terms drawn for the shards in which machines have restarted. While a term is being
   * drawn, the shard's workers get no answers, so that many restarts share one term.
   */
  void tick(long nowMicros) {
    if (raisesDue.isEmpty()) {
      return;
    }
    for (int shard : List.copyOf(raisesDue)) {
      if (nowMicros >= nextRaiseMicros.getOrDefault(shard, Long.MIN_VALUE)) {
        raisesDue.remove(shard);
        nextRaiseMicros.put(shard, nowMicros + RAISE_INTERVAL_MICROS);
        membership.raiseTerm(shard);
      }
    }
  }

  private void onRestart(Worker worker, Heartbeat status) {
    boolean mayKill = membership.permits(ControlAction.KILL, worker.shard());
    onRestart(worker);
    if (mayKill) {
      reconciler.onWorkerRestart(worker, status);
    }
  }
}
