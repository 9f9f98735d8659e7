package gladeknot.lifecycle;

import gladeknot.connectivity.ControlAction;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import gladeknot.tasks.Attempt;
import gladeknot.workers.CommandCodec;
import gladeknot.workers.Heartbeat;
import gladeknot.workers.HeartbeatCodec;
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
 * Sends kills to workers directly, repeated until one is acknowledged: a worker whose heartbeats
 * don't arrive, or that can't be reached when the end of its task is decided, gets the kill as soon
 * as possible. Each kill is also part of the answers to the worker's heartbeats; direct commands
 * are faster, and prove nothing.
 */
final class KillDispatcher {
  private static final long CALL_TIMEOUT_MICROS = 3_000_000;

  /** Between two calls to one worker. */
  private static final long RETRY_INTERVAL_MICROS = 2_000_000;

  /**
   * Calls open at a time: unreachable machines must not use up the sockets. The others wait for a
   * second or two, and get their kills with the answers to their heartbeats too.
   */
  private static final int MAX_OPEN_CALLS = 40;

  private static final int OK = 200;
  private static final int CONFLICT = 409;

  /** The kills that wait for one worker. */
  private static final class PendingKills {
    private final Set<Attempt> attempts = new LinkedHashSet<>();
    private long nextCallMicros;
    private boolean callOpen;

    /** The newest incarnation that is known of the worker; 0 if none is. */
    private long incarnation;

    void add(Attempt attempt, long nowMicros) {
      if (attempts.add(attempt)) {
        nextCallMicros = Math.min(nextCallMicros, nowMicros);
      }
    }

    boolean due(long nowMicros) {
      return !callOpen && nowMicros >= nextCallMicros;
    }

    /** Records the incarnation that the worker names; if it is new, it may be called at once. */
    void learnIncarnation(long newest, long nowMicros) {
      if (newest > incarnation) {
        incarnation = newest;
        nextCallMicros = nowMicros;
      }
    }
  }

  private final Membership membership;
  private final WorkerRegistry workers;
  private final Outbox outbox;

  /** By host, in the order of the first kill. */
  private final Map<String, PendingKills> pendingByHost = new LinkedHashMap<>();

  private int openCalls;
  private long nowMicros;

  KillDispatcher(Membership membership, WorkerRegistry workers, Outbox outbox) {
    this.membership = membership;
    this.workers = workers;
    this.outbox = outbox;
  }

  /** Adds a kill, to be sent with the next tick if possible. */
  void add(Attempt attempt) {
    pendingByHost
        .computeIfAbsent(attempt.host(), host -> new PendingKills())
        .add(attempt, nowMicros);
  }

  /** Sends what is due, and drops kills that are no longer wanted. */
  void tick(long now) {
    nowMicros = now;
    if (pendingByHost.isEmpty()) {
      return;
    }
    for (Map.Entry<String, PendingKills> entry : List.copyOf(pendingByHost.entrySet())) {
      PendingKills pending = entry.getValue();
      if (!pending.due(now)) {
        continue;
      }
      pending.attempts.removeIf(attempt -> !wanted(attempt));
      if (pending.attempts.isEmpty()) {
        pendingByHost.remove(entry.getKey());
      } else if (openCalls < MAX_OPEN_CALLS) {
        send(entry.getKey(), pending);
      }
    }
  }

  /** Whether an attempt still runs, as far as is known, and belongs to an owned shard. */
  private boolean wanted(Attempt attempt) {
    return !attempt.closed()
        && attempt.killRequested()
        && membership.ownedShards().contains(attempt.slice().shard());
  }

  private void send(String host, PendingKills pending) {
    Worker worker = workers.get(host);
    String endpoint = worker == null ? null : worker.endpoint();
    pending.nextCallMicros = nowMicros + RETRY_INTERVAL_MICROS;
    if (endpoint == null) {
      return;
    }
    Heartbeat last = worker.heartbeat();
    if (last != null) {
      pending.incarnation = Math.max(pending.incarnation, last.incarnation());
    }
    if (pending.incarnation == 0) {
      // No heartbeat has arrived here: the worker is asked for its incarnation first.
      call(endpoint, "GET", "/status", null, pending, reply -> learnIncarnation(reply, pending));
    } else {
      sendKills(endpoint, pending);
    }
  }

  private void sendKills(String endpoint, PendingKills pending) {
    List<WorkerCommand> kills = new ArrayList<>();
    List<Attempt> carried = new ArrayList<>();
    long term = -1;
    for (Attempt attempt : pending.attempts) {
      int shard = attempt.slice().shard();
      if (!mayKill(attempt, shard)) {
        continue;
      }
      term = Math.max(term, membership.term(shard));
      kills.add(
          new WorkerCommand.Kill(
              attempt.name(), attempt.number(), attempt.remainingGraceSeconds(nowMicros)));
      carried.add(attempt);
    }
    if (kills.isEmpty()) {
      return;
    }
    Map<String, Object> body = CommandCodec.directCommands(term, pending.incarnation, kills);
    call(endpoint, "POST", "/orders", body, pending, reply -> onReply(reply, pending, carried));
  }

  /**
   * Whether a kill may be sent now. Only the end of a task of a finished job is sure to be wanted,
   * whoever acts for the shard.
   */
  private boolean mayKill(Attempt attempt, int shard) {
    return membership.permits(
        attempt.jobFinished() ? ControlAction.KILL_CANCELLED : ControlAction.KILL, shard);
  }

  private void onReply(Outbox.Reply reply, PendingKills pending, List<Attempt> carried) {
    if (reply.status() == OK) {
      carried.forEach(pending.attempts::remove);
    } else {
      learnIncarnation(reply, pending);
    }
  }

  private void learnIncarnation(Outbox.Reply reply, PendingKills pending) {
    if (reply.status() == OK || reply.status() == CONFLICT) {
      pending.learnIncarnation(HeartbeatCodec.incarnation(reply.object()), nowMicros);
    }
  }

  private void call(
      String endpoint,
      String method,
      String path,
      Object body,
      PendingKills pending,
      Outbox.ReplyHandler handler) {
    pending.callOpen = true;
    openCalls++;
    outbox.call(
        endpoint,
        method,
        path,
        body,
        CALL_TIMEOUT_MICROS,
        reply -> {
          pending.callOpen = false;
          openCalls--;
          handler.onReply(reply);
        });
  }
}
