package gladeknot.lifecycle;

import gladeknot.connectivity.ControlAction;
import gladeknot.json.Json;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.tasks.Attempt;
import gladeknot.workers.CommandCodec;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.Worker;
import gladeknot.workers.WorkerCommand;
import gladeknot.workers.WorkerRegistry;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sends kills to machines directly, again and again until one is answered: a machine that can't
 * reach us, or is out of reach when the end of its task is decided, gets it as soon as it can. Each
 * kill also goes with the answers to the machine's reports; this is the shorter way, not the proof.
 */
final class KillDispatcher {
  private static final long CALL_MICROS = 3_000_000;

  /** Between two tries at one machine. */
  private static final long AGAIN_MICROS = 2_000_000;

  /**
   * How many calls may be open: silent machines must not use up the sockets. However many machines
   * there are, the others wait for a second or two, and get their kills with their reports too.
   */
  private static final int MAX_OPEN = 40;

  /** What waits for one machine. */
  private static final class PendingKills {
    private final Set<Attempt> attempts = new LinkedHashSet<>();
    private long nextMicros;
    private boolean open;
    private long tenure;
  }

  private final Membership membership;
  private final WorkerRegistry workers;
  private final Outbox outbox;
  private final Map<String, PendingKills> pending = new LinkedHashMap<>();
  private int open;
  private long nowMicros;

  KillDispatcher(Membership membership, WorkerRegistry workers, Outbox outbox) {
    this.membership = membership;
    this.workers = workers;
    this.outbox = outbox;
  }

  /** Adds a kill; it goes at once if it can. */
  void add(Attempt a) {
    PendingKills e = pending.computeIfAbsent(a.host(), h -> new PendingKills());
    if (e.attempts.add(a)) {
      e.nextMicros = Math.min(e.nextMicros, nowMicros);
    }
  }

  void tick(long now) {
    nowMicros = now;
    if (pending.isEmpty()) {
      return;
    }
    for (Map.Entry<String, PendingKills> entry : List.copyOf(pending.entrySet())) {
      PendingKills e = entry.getValue();
      if (e.open || now < e.nextMicros) {
        continue;
      }
      e.attempts.removeIf(a -> !wanted(a));
      if (e.attempts.isEmpty()) {
        pending.remove(entry.getKey());
      } else if (open < MAX_OPEN) {
        send(entry.getKey(), e);
      }
    }
  }

  /** Whether an attempt is still ours to stop. */
  private boolean wanted(Attempt a) {
    return !a.closed() && a.killRequested() && membership.ownedShards().contains(a.slice().shard());
  }

  private void send(String host, PendingKills e) {
    Worker w = workers.get(host);
    String endpoint = w == null ? null : w.endpoint();
    e.nextMicros = nowMicros + AGAIN_MICROS;
    if (endpoint == null) {
      return;
    }
    Heartbeat last = w.heartbeat();
    if (last != null) {
      e.tenure = Math.max(e.tenure, last.incarnation());
    }
    if (e.tenure == 0) {
      // It has never reported to us: its session is asked for first.
      call(endpoint, "GET", "/status", null, e, reply -> learn(reply, e));
      return;
    }
    List<WorkerCommand> orders = new ArrayList<>();
    List<Attempt> carried = new ArrayList<>();
    long term = -1;
    for (Attempt a : e.attempts) {
      int shard = a.slice().shard();
      ControlAction kind = a.jobFinished() ? ControlAction.KILL_CANCELLED : ControlAction.KILL;
      if (!membership.permits(kind, shard)) {
        // Only the end of a job that is over is sure to be wanted, whoever acts for the shard.
        continue;
      }
      term = Math.max(term, membership.term(shard));
      orders.add(new WorkerCommand.Kill(a.name(), a.number(), a.remainingGraceSeconds(nowMicros)));
      carried.add(a);
    }
    if (orders.isEmpty()) {
      return;
    }
    Object body = CommandCodec.directCommands(term, e.tenure, orders);
    call(
        endpoint,
        "POST",
        "/orders",
        body,
        e,
        reply -> {
          if (reply.status() == 200) {
            carried.forEach(e.attempts::remove);
          } else {
            learn(reply, e);
          }
        });
  }

  private void call(
      String endpoint,
      String method,
      String path,
      Object body,
      PendingKills e,
      Outbox.ReplyHandler h) {
    e.open = true;
    open++;
    outbox.call(
        endpoint,
        method,
        path,
        body,
        CALL_MICROS,
        reply -> {
          e.open = false;
          open--;
          h.onReply(reply);
        });
  }

  /** Takes a machine's session from its own word, and tries again at once if it was another. */
  private void learn(Outbox.Reply reply, PendingKills e) {
    if (reply.status() != 200 && reply.status() != 409) {
      return;
    }
    long tenure = Json.num(reply.object(), "tenure", 0);
    if (tenure > e.tenure) {
      e.tenure = tenure;
      e.nextMicros = nowMicros;
    }
  }
}
