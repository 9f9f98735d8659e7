package gladeknot.workers;

import gladeknot.connectivity.OrderKind;
import gladeknot.connectivity.WorkerTraffic;
import gladeknot.http.Json;
import gladeknot.http.Outbox;
import gladeknot.membership.Membership;
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
public final class WorkerRequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(WorkerRequestHandler.class);

  /** Brings what a report says together with what the slices say. */
  public interface Sync {
    /** The commands that follow from a report just taken in. */
    List<Map<String, Object>> orders(Worker worker, Report report);

    /** Decides starts, now or soon; returns the number of the round that takes this report in. */
    long place();

    /** How many rounds of decisions there have been. */
    long placed();

    /** Takes in that a machine has lost what it had, but for what its state lists. */
    void restarted(Worker worker, Report now);

    /** Whether nothing on a machine is about to end or to begin, as far as is known. */
    boolean quiet(Worker worker);

    /** Kills for the tasks of a report whose jobs are over by the copy. */
    List<Map<String, Object>> overdue(Report report);

    /** Makes an unexpected machine ours. */
    void adopt(Report report);
  }

  /**
   * How long an answer waits for a start that is being decided or committed, at least, and as a
   * part of the time between two reports: in a large fleet both take longer, and what misses this
   * answer leaves its place empty until the next report. Far below what a worker waits for an
   * answer.
   */
  private static final long LEAST_HOLD_MICROS = 400_000;

  private static final double HOLD_SHARE = 0.3;
  private static final long MOST_HOLD_MICROS = 1_200_000;

  /**
   * A quiet machine's answer waits for a start for this part of the time between two reports: a run
   * goes in answers alone, and with seconds between them work that is to start at once would wait
   * for the next. What a worker waits for an answer is longer than this at any report's pace.
   */
  private static final double QUIET_SHARE = 0.5;

  private static final long MOST_QUIET_MICROS = 2_000_000;

  /** How often held answers are looked through, but for those that a commit sets free. */
  private static final long RELEASE_MICROS = 40_000;

  /** A worker that comes again so soon has not got through to its controller. */
  private static final long BACK_MICROS = 12_000_000;

  /** Between two questions to a machine whose reports look old. */
  private static final long ASK_MICROS = 2_000_000;

  private record Held(
      long request,
      Worker worker,
      Report report,
      long round,
      long untilMicros,
      long quietUntilMicros) {}

  private final StateStore stateStore;
  private final Membership membership;
  private final WorkerRegistry workers;
  private final Outbox outbox;
  private final WorkerTraffic traffic;
  private final Sync sync;
  private final Map<String, Long> sentAway = new HashMap<>();
  private long nextSweepMicros;
  private final List<Held> held = new ArrayList<>();
  private final long holdMicros;
  private final long quietMicros;
  private long nextReleaseMicros;
  private long nowMicros;

  /** A handler that answers through the outbox. */
  public WorkerRequestHandler(
      Settings settings,
      StateStore stateStore,
      Membership membership,
      WorkerRegistry workers,
      Outbox outbox,
      WorkerTraffic traffic,
      Sync sync) {
    long share = (long) (settings.workers().reportMicros() * HOLD_SHARE);
    this.holdMicros = Math.max(LEAST_HOLD_MICROS, Math.min(MOST_HOLD_MICROS, share));
    this.quietMicros =
        Math.min(MOST_QUIET_MICROS, (long) (settings.workers().reportMicros() * QUIET_SHARE));
    this.stateStore = stateStore;
    this.membership = membership;
    this.workers = workers;
    this.outbox = outbox;
    this.traffic = traffic;
    this.sync = sync;
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
  public void hello(long request, byte[] body) {
    Report report;
    try {
      report = Report.parse(Json.object(body));
    } catch (IOException e) {
      outbox.answer(request, 400, Json.of("error", "body: not a JSON object"));
      return;
    } catch (Report.MalformedJobException e) {
      outbox.answer(request, 400, Json.of("error", e.getMessage()));
      return;
    }
    if (!stateStore.loaded() || !membership.entitled()) {
      outbox.comeBack(request, 503, "not entitled to answer workers", 1);
      return;
    }
    Worker worker = workers.get(report.host());
    if (worker == null || !worker.entered()) {
      // Not in the state store: rented by a request whose answer was lost, or the copy is behind.
      sync.adopt(report);
      outbox.comeBack(request, 503, "unknown machine", 1);
      return;
    }
    int shard = worker.shard();
    if (!membership.permits(OrderKind.RENEW_LEASE, shard)) {
      traffic.reported(arrival(report, shard, false));
      elsewhere(request, body, report, shard);
      return;
    }
    long term = membership.term(shard);
    if (report.token() > term) {
      LOG.info("worker {} has seen token {} above term {}", report.host(), report.token(), term);
      membership.raise(shard);
      outbox.comeBack(request, 503, "its controller's term is being raised", 1);
      return;
    }
    Report last = worker.report();
    if (last != null && !report.after(last.tenure(), last.tick())) {
      // A late copy: the worker has gone on, what this says is over. Or the machine has begun
      // anew, and counts from the start again: it is asked.
      if (worker.mayAsk(nowMicros, ASK_MICROS)) {
        ask(worker, report.endpoint());
      }
      outbox.comeBack(request, 503, "older than a report already taken", 1);
      return;
    }
    WorkerTraffic.Arrival arrival = arrival(report, shard, true);
    String elsewhere = traffic.redirect(arrival, report.tasks().isEmpty());
    if (elsewhere != null) {
      outbox.answer(request, 421, Json.of("foreman", elsewhere));
      return;
    }
    worker.report(report, nowMicros);
    traffic.reported(arrival);
    List<Map<String, Object>> orders = sync.orders(worker, report);
    long quietUntil = orders.isEmpty() && sync.quiet(worker) ? nowMicros + quietMicros : 0;
    long until = Math.max(nowMicros, quietUntil) + holdMicros;
    Held h = new Held(request, worker, report, sync.place(), until, quietUntil);
    if (pending(h) || nowMicros < quietUntil) {
      // A start for this worker is being decided or committed: it goes with this answer, rather
      // than with that to its next report.
      held.add(h);
      return;
    }
    answer(request, worker, orders);
  }

  private static WorkerTraffic.Arrival arrival(Report report, int shard, boolean ours) {
    return new WorkerTraffic.Arrival(
        report.host(), report.zone(), shard, ours, report.tenure(), report.tick());
  }

  /**
   * Asks a machine for its state. An answer that is older than a report already taken can only come
   * from a machine that has lost all it had since.
   */
  private void ask(Worker worker, String endpoint) {
    Report last = worker.report();
    outbox.call(
        endpoint,
        "GET",
        "/status",
        null,
        ASK_MICROS,
        reply -> {
          if (reply.status() != 200 || worker.report() != last) {
            return;
          }
          try {
            Report now = Report.parse(reply.object());
            if (now.host().equals(worker.host()) && last.after(now.tenure(), now.tick())) {
              LOG.info("worker {} has begun anew", worker.host());
              worker.restarted();
              if (membership.permits(OrderKind.KILL, worker.shard())) {
                sync.restarted(worker, now);
              }
            }
          } catch (Report.MalformedJobException e) {
            LOG.info("status of {} not understood: {}", worker.host(), e.getMessage());
          }
        });
  }

  /** A worker whose shard another controller owns. */
  private void elsewhere(long request, byte[] body, Report report, int shard) {
    String owner = membership.liveOwner(shard);
    long term = membership.term(shard);
    if (owner == null) {
      outbox.comeBack(request, 503, "its controller is changing", 1);
      return;
    }
    Long before = sentAway.put(report.host(), nowMicros);
    boolean back = before != null && nowMicros - before < BACK_MICROS;
    if (!back || report.token() != term || report.tasks().isEmpty()) {
      outbox.answer(request, 421, Json.of("foreman", owner));
      return;
    }
    // It was sent to its controller and has come back: its lease is renewed here for a while, so
    // that its tasks outlive a restart, or a cut that leads to a change of hands.
    if (membership.delegateFor(shard)) {
      answerAsDelegate(request, body, report, shard, term);
    } else {
      membership.becomeDelegate(
          shard,
          done -> {
            if (done) {
              answerAsDelegate(request, body, report, shard, term);
            } else {
              outbox.answer(request, 421, Json.of("foreman", owner));
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
  private void answerAsDelegate(long request, byte[] body, Report report, int shard, long term) {
    stateStore.barrier(
        () -> {
          if (membership.permits(OrderKind.RENEW_LEASE, shard)) {
            hello(request, body);
          } else if (membership.term(shard) == term && membership.delegateFor(shard)) {
            outbox.answer(request, 200, Json.of("fence", term, "orders", sync.overdue(report)));
          } else {
            outbox.comeBack(request, 503, "its controller is changing", 1);
          }
        },
        () -> outbox.comeBack(request, 503, "the state service does not answer", 1));
  }

  private void answer(long request, Worker worker, List<Map<String, Object>> orders) {
    long term = membership.term(worker.shard());
    worker.answered(nowMicros, term);
    traffic.answered(worker.host());
    outbox.answer(request, 200, Json.of("fence", term, "orders", orders));
  }

  private boolean pending(Held h) {
    return sync.placed() < h.round() || h.worker().startsPending();
  }

  /** Answers what was held for a commit that has ended, or that takes too long. */
  public void release() {
    if (held.isEmpty()) {
      return;
    }
    for (Held h : List.copyOf(held)) {
      boolean waits =
          pending(h) || (nowMicros < h.quietUntilMicros() && !h.worker().startsToSend());
      if (nowMicros < h.untilMicros() && waits) {
        continue;
      }
      held.remove(h);
      if (h.worker().report() == h.report()
          && membership.permits(OrderKind.RENEW_LEASE, h.worker().shard())) {
        answer(h.request(), h.worker(), sync.orders(h.worker(), h.report()));
      } else {
        outbox.comeBack(h.request(), 503, "its controller is changing", 1);
      }
    }
  }
}
