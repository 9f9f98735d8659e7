package gladeknot.workers;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
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

  private static final int OK = 200;

  private final Membership membership;
  private final Outbox outbox;
  private final HeartbeatHandler.Reconciler reconciler;

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
      // The reply was sent after the last heartbeat. If its counters are lower, they have
      // restarted.
      if (status.host().equals(worker.host())
          && last.isNewerThan(status.incarnation(), status.sequence())) {
        onRestart(worker, status);
      }
    } catch (MalformedHeartbeatException e) {
      LOG.info("worker status rejected worker={} error={}", worker.host(), e.getMessage());
    }
  }

  private void onRestart(Worker worker, Heartbeat status) {
    LOG.info("worker restarted worker={} shard={}", worker.host(), worker.shard());
    worker.onRestart();
    if (membership.permits(ControlAction.KILL, worker.shard())) {
      reconciler.onWorkerRestart(worker, status);
    }
  }
}
