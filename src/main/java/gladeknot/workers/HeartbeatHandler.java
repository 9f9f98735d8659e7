package gladeknot.workers;

import gladeknot.connectivity.ControlAction;
import gladeknot.connectivity.HeartbeatObserver;
import gladeknot.json.Json;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Settings;
import gladeknot.state.StateStore;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes the workers' reports and answers them. */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

  /** Brings what a report says together with what the slices say. */
  public interface Reconciler {
    /** The commands that follow from a report just taken in. */
    List<WorkerCommand> reconcile(Worker worker, Heartbeat report);

    /** Decides starts, now or soon; returns the number of the round that takes this report in. */
    long requestScheduling();

    /** How many rounds of decisions there have been. */
    long completedRounds();

    /** Takes in that a machine has lost what it had, but for what its state lists. */
    void onWorkerRestart(Worker worker, Heartbeat now);

    /** Whether nothing on a machine is about to end or to begin, as far as is known. */
    boolean isSteady(Worker worker);

    /** Kills for the tasks of a report whose jobs are over by the copy. */
    List<WorkerCommand> killsForFinishedJobs(Heartbeat report);

    /** Makes an unexpected machine ours. */
    void registerUnknownWorker(Heartbeat report);
  }

  /**
   * How long an answer waits for a start that is being decided or committed, at least, and as a
   * part of the time between two reports: in a large fleet both take longer, and what misses this
   * answer leaves its place empty until the next report. Far below what a worker waits for an
   * answer.
   */
  private static final long MIN_HOLD_MICROS = 400_000;

  private static final double HOLD_SHARE = 0.3;
  private static final long MAX_HOLD_MICROS = 1_200_000;

  /**
   * A quiet machine's answer waits for a start for this part of the time between two reports: a run
   * goes in answers alone, and with seconds between them work that is to start at once would wait
   * for the next. What a worker waits for an answer is longer than this at any report's pace.
   */
  private static final double QUIET_SHARE = 0.5;

  private static final long MAX_QUIET_MICROS = 2_000_000;

  /** How often held answers are looked through, but for those that a commit sets free. */
  private static final long RELEASE_MICROS = 40_000;

  /** A worker that comes again so soon has not got through to its controller. */
  private static final long BACK_MICROS = 12_000_000;

  /** Between two questions to a machine whose reports look old. */
  private static final long ASK_MICROS = 2_000_000;

  private record Held(
      long request,
      Worker worker,
      Heartbeat report,
      long round,
      long untilMicros,
      long quietUntilMicros) {}

  private final StateStore stateStore;
  private final Membership membership;
  private final WorkerRegistry workers;
  private final Outbox outbox;
  private final HeartbeatObserver traffic;
  private final Reconciler reconciler;
  private final Map<String, Long> sentAway = new HashMap<>();
  private long nextSweepMicros;
  private final List<Held> held = new ArrayList<>();
  private final long holdMicros;
  private final long quietMicros;
  private long nextReleaseMicros;
  private long nowMicros;

  /** A handler that answers through the outbox. */
  public HeartbeatHandler(
      Settings settings,
      StateStore stateStore,
      Membership membership,
      WorkerRegistry workers,
      Outbox outbox,
      HeartbeatObserver traffic,
      Reconciler sync) {
    long share = (long) (settings.workers().heartbeatMicros() * HOLD_SHARE);
    this.holdMicros = Math.max(MIN_HOLD_MICROS, Math.min(MAX_HOLD_MICROS, share));
    this.quietMicros =
        Math.min(MAX_QUIET_MICROS, (long) (settings.workers().heartbeatMicros() * QUIET_SHARE));
    this.stateStore = stateStore;
    this.membership = membership;
    this.workers = workers;
    this.outbox = outbox;
    this.traffic = traffic;
    this.reconciler = sync;
  }

  /** Answers held reports that can't wait any longer. */
  public void tick(long now) {
    nowMicros = now;
    if (now >= nextSweepMicros) {
      nextSweepMicros = now + BACK_MICROS;
      sentAway.values().removeIf(at -> now - at > BACK_MICROS);
    }
    if (now >= nextReleaseMicros) {
      nextReleaseMicros = now + RELEASE_MICROS;
      release();
    }
  }

  /** POST /hello. */
  public void handle(long request, byte[] body) {
    Heartbeat report;
    try {
      report = Heartbeat.parse(Json.object(body));
    } catch (IOException e) {
      outbox.answer(request, 400, Json.of("error", "body: not a JSON object"));
      return;
    } catch (Heartbeat.MalformedHeartbeatException e) {
      outbox.answer(request, 400, Json.of("error", e.getMessage()));
      return;
    }
    if (!stateStore.loaded() || !membership.mayAct()) {
      outbox.retryLater(request, 503, "not entitled to answer workers", 1);
      return;
    }
    Worker worker = workers.get(report.host());
    if (worker == null || !worker.registered()) {
      // Not in the state store: rented by a request whose answer was lost, or the copy is behind.
      reconciler.registerUnknownWorker(report);
      outbox.retryLater(request, 503, "unknown machine", 1);
      return;
    }
    int shard = worker.shard();
    if (!membership.permits(ControlAction.RENEW_LEASE, shard)) {
      traffic.onHeartbeat(arrival(report, shard, false));
      elsewhere(request, body, report, shard);
      return;
    }
    long term = membership.term(shard);
    if (report.fencingToken() > term) {
      LOG.info(
          "worker {} has seen token {} above term {}", report.host(), report.fencingToken(), term);
      membership.raiseTerm(shard);
      outbox.retryLater(request, 503, "its controller's term is being raised", 1);
      return;
    }
    Heartbeat last = worker.heartbeat();
    if (last != null && !report.isNewerThan(last.incarnation(), last.sequence())) {
      // A late copy: the worker has gone on, what this says is over. Or the machine has begun
      // anew, and counts from the start again: it is asked.
      if (worker.mayProbe(nowMicros, ASK_MICROS)) {
        ask(worker, report.endpoint());
      }
      outbox.retryLater(request, 503, "older than a report already taken", 1);
      return;
    }
    HeartbeatObserver.Arrival arrival = arrival(report, shard, true);
    String elsewhere = traffic.redirect(arrival, report.tasks().isEmpty());
    if (elsewhere != null) {
      outbox.answer(request, 421, CommandCodec.redirect(elsewhere));
      return;
    }
    worker.onHeartbeat(report, nowMicros);
    traffic.onHeartbeat(arrival);
    List<WorkerCommand> orders = reconciler.reconcile(worker, report);
    long quietUntil = orders.isEmpty() && reconciler.isSteady(worker) ? nowMicros + quietMicros : 0;
    long until = Math.max(nowMicros, quietUntil) + holdMicros;
    Held h = new Held(request, worker, report, reconciler.requestScheduling(), until, quietUntil);
    if (pending(h) || nowMicros < quietUntil) {
      // A start for this worker is being decided or committed: it goes with this answer, rather
      // than with that to its next report.
      held.add(h);
      return;
    }
    answer(request, worker, orders);
  }

  private static HeartbeatObserver.Arrival arrival(Heartbeat report, int shard, boolean ours) {
    return new HeartbeatObserver.Arrival(
        report.host(), report.zone(), shard, ours, report.incarnation(), report.sequence());
  }

  /**
   * Asks a machine for its state. An answer that is older than a report already taken can only come
   * from a machine that has lost all it had since.
   */
  private void ask(Worker worker, String endpoint) {
    Heartbeat last = worker.heartbeat();
    outbox.call(
        endpoint,
        "GET",
        "/status",
        null,
        ASK_MICROS,
        reply -> {
          if (reply.status() != 200 || worker.heartbeat() != last) {
            return;
          }
          try {
            Heartbeat now = Heartbeat.parse(reply.object());
            if (now.host().equals(worker.host())
                && last.isNewerThan(now.incarnation(), now.sequence())) {
              LOG.info("worker {} has begun anew", worker.host());
              worker.onRestart();
              if (membership.permits(ControlAction.KILL, worker.shard())) {
                reconciler.onWorkerRestart(worker, now);
              }
            }
          } catch (Heartbeat.MalformedHeartbeatException e) {
            LOG.info("status of {} not understood: {}", worker.host(), e.getMessage());
          }
        });
  }

  /** A worker whose shard another controller owns. */
  private void elsewhere(long request, byte[] body, Heartbeat report, int shard) {
    String owner = membership.liveOwner(shard);
    long term = membership.term(shard);
    if (owner == null) {
      outbox.retryLater(request, 503, "its controller is changing", 1);
      return;
    }
    Long before = sentAway.put(report.host(), nowMicros);
    boolean back = before != null && nowMicros - before < BACK_MICROS;
    if (!back || report.fencingToken() != term || report.tasks().isEmpty()) {
      outbox.answer(request, 421, CommandCodec.redirect(owner));
      return;
    }
    // It was sent to its controller and has come back: its lease is renewed here for a while, so
    // that its tasks outlive a restart, or a cut that leads to a change of hands.
    if (membership.isDelegateFor(shard)) {
      answerAsDelegate(request, body, report, shard, term);
    } else {
      membership.becomeDelegate(
          shard,
          done -> {
            if (done) {
              answerAsDelegate(request, body, report, shard, term);
            } else {
              outbox.answer(request, 421, CommandCodec.redirect(owner));
            }
          });
    }
  }

  /**
   * Renews a worker's lease in its owner's place. The barrier is read after the report came: if the
   * shard has changed hands since the report was sent, it shows, and so does each cancellation
   * committed by then. Whose job is over gets its kill, so that no delegation, however many follow
   * one another, keeps a cancelled task beyond its time; other commands are the owner's alone.
   */
  private void answerAsDelegate(long request, byte[] body, Heartbeat report, int shard, long term) {
    stateStore.readBarrier(
        () -> {
          if (membership.permits(ControlAction.RENEW_LEASE, shard)) {
            handle(request, body);
          } else if (membership.term(shard) == term && membership.isDelegateFor(shard)) {
            outbox.answer(
                request, 200, CommandCodec.answer(term, reconciler.killsForFinishedJobs(report)));
          } else {
            outbox.retryLater(request, 503, "its controller is changing", 1);
          }
        },
        () -> outbox.retryLater(request, 503, "the state service does not answer", 1));
  }

  private void answer(long request, Worker worker, List<WorkerCommand> orders) {
    long term = membership.term(worker.shard());
    worker.onAnswered(nowMicros, term);
    traffic.onAnswered(worker.host());
    outbox.answer(request, 200, CommandCodec.answer(term, orders));
  }

  private boolean pending(Held h) {
    return reconciler.completedRounds() < h.round() || h.worker().hasUncommittedStarts();
  }

  /** Answers what was held for a commit that has ended, or that takes too long. */
  public void release() {
    if (held.isEmpty()) {
      return;
    }
    for (Held h : List.copyOf(held)) {
      boolean waits =
          pending(h) || (nowMicros < h.quietUntilMicros() && !h.worker().hasCommandsToSend());
      if (nowMicros < h.untilMicros() && waits) {
        continue;
      }
      held.remove(h);
      if (h.worker().heartbeat() == h.report()
          && membership.permits(ControlAction.RENEW_LEASE, h.worker().shard())) {
        answer(h.request(), h.worker(), reconciler.reconcile(h.worker(), h.report()));
      } else {
        outbox.retryLater(h.request(), 503, "its controller is changing", 1);
      }
    }
  }
}
