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
 * Sends kill commands directly to workers and repeats each until one is acknowledged. A worker
 * whose heartbeats don't arrive, or that is unreachable when the kill is decided, thus gets the
 * kill as soon as possible. Each kill is also part of the answers to the worker's heartbeats.
 * Direct commands are faster, but prove nothing about the end of an attempt.
 */
final class KillDispatcher {
  private static final long CALL_TIMEOUT_MICROS = 3_000_000;

  /** Interval between two calls to one worker, in microseconds. */
  private static final long RETRY_INTERVAL_MICROS = 2_000_000;

  /**
   * Maximum number of open calls, so that unreachable machines don't use up the sockets. Further
   * kills wait for a second or two; they are also part of the answers to heartbeats.
   */
  private static final int MAX_OPEN_CALLS = 40;

  private static final int HTTP_OK = 200;
  private static final int HTTP_CONFLICT = 409;

  /** The pending kills of one worker. */
  private static final class PendingKills {
    private final Set<Attempt> attempts = new LinkedHashSet<>();
    private long nextCallMicros;
    private boolean callOpen;

    /** Newest known incarnation of the worker; 0 if none is known. */
    private long incarnation;

    void add(Attempt attempt, long nowMicros) {
      if (attempts.add(attempt)) {
        nextCallMicros = Math.min(nextCallMicros, nowMicros);
      }
    }

    boolean isDue(long nowMicros) {
      return !callOpen && nowMicros >= nextCallMicros;
    }

    /** Records the incarnation that the worker reports. A new incarnation is called at once. */
    void learnIncarnation(long reported, long nowMicros) {
      if (reported > incarnation) {
        incarnation = reported;
        nextCallMicros = nowMicros;
      }
    }
  }

  private final Membership membership;
  private final WorkerRegistry workers;
  private final Outbox outbox;

  /** Pending kills by host, in the order of each host's first kill. */
  private final Map<String, PendingKills> pendingByHost = new LinkedHashMap<>();

  private int openCalls;
  private long nowMicros;

  KillDispatcher(Membership membership, WorkerRegistry workers, Outbox outbox) {
    this.membership = membership;
    this.workers = workers;
    this.outbox = outbox;
  }

  /** Adds a kill, which is sent at the next tick if possible. */
  void add(Attempt attempt) {
    pendingByHost
        .computeIfAbsent(attempt.host(), host -> new PendingKills())
        .add(attempt, nowMicros);
  }

  /** Sends the kills that are due, and drops those that are no longer needed. */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (pendingByHost.isEmpty()) {
      return;
    }
    for (Map.Entry<String, PendingKills> entry : List.copyOf(pendingByHost.entrySet())) {
      PendingKills pending = entry.getValue();
      if (!pending.isDue(currentMicros)) {
        continue;
      }
      pending.attempts.removeIf(attempt -> !isStillNeeded(attempt));
      if (pending.attempts.isEmpty()) {
        pendingByHost.remove(entry.getKey());
      } else if (openCalls < MAX_OPEN_CALLS) {
        send(entry.getKey(), pending);
      }
    }
  }

  /** Returns whether an attempt is not known to have ended and belongs to an owned shard. */
  private boolean isStillNeeded(Attempt attempt) {
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
    List<Attempt> sentAttempts = new ArrayList<>();
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
      sentAttempts.add(attempt);
    }
    if (kills.isEmpty()) {
      return;
    }
    Map<String, Object> body = CommandCodec.directCommands(term, pending.incarnation, kills);
    call(
        endpoint, "POST", "/orders", body, pending, reply -> onReply(reply, pending, sentAttempts));
  }

  /**
   * Returns whether a kill may be sent now. Any controller may kill a finished job's task, whether
   * or not it owns the shard; other kills require authority over the shard.
   */
  private boolean mayKill(Attempt attempt, int shard) {
    return membership.permits(
        attempt.jobFinished() ? ControlAction.KILL_CANCELLED : ControlAction.KILL, shard);
  }

  private void onReply(Outbox.Reply reply, PendingKills pending, List<Attempt> sentAttempts) {
    if (reply.status() == HTTP_OK) {
      sentAttempts.forEach(pending.attempts::remove);
    } else {
      learnIncarnation(reply, pending);
    }
  }

  private void learnIncarnation(Outbox.Reply reply, PendingKills pending) {
    if (reply.status() == HTTP_OK || reply.status() == HTTP_CONFLICT) {
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
