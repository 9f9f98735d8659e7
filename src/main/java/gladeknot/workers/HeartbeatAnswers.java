package gladeknot.workers;

import gladeknot.connectivity.HeartbeatObserver;
import gladeknot.json.Json;
import gladeknot.membership.Membership;
import gladeknot.outbox.Outbox;
import java.util.List;

/** Sends the answers to heartbeats. Only this class maps each outcome to its form on the wire. */
final class HeartbeatAnswers {
  private static final int ACCEPTED = 200;
  private static final int MALFORMED = 400;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_SECONDS = 1;

  /**
   * Reason for a temporary refusal of a heartbeat. The worker keeps its lease and retries at
   * another node.
   */
  enum Refusal {
    NOT_ENTITLED("not entitled to answer workers"),
    UNKNOWN_WORKER("unknown machine"),
    TERM_BEING_RAISED("its controller's term is being raised"),
    OUT_OF_ORDER("older than a report already taken"),
    OWNER_CHANGING("its controller is changing"),
    STATE_SERVICE_UNREACHABLE("the state service does not answer");

    private final String text;

    Refusal(String text) {
      this.text = text;
    }
  }

  private final Membership membership;
  private final Outbox outbox;
  private final HeartbeatObserver observer;

  HeartbeatAnswers(Membership membership, Outbox outbox, HeartbeatObserver observer) {
    this.membership = membership;
    this.outbox = outbox;
    this.observer = observer;
  }

  /** Answers that the body is not a valid heartbeat; {@code problem} tells the worker why. */
  void malformed(long request, String problem) {
    outbox.answer(request, MALFORMED, Json.of("error", problem));
  }

  /** Refuses a heartbeat for now, with a retry delay. */
  void refuse(long request, Refusal refusal) {
    outbox.retryLater(request, UNAVAILABLE, refusal.text, RETRY_AFTER_SECONDS);
  }

  /** Redirects the worker, which must send its heartbeats to another node. */
  void redirect(long request, String node) {
    outbox.answer(request, MISDIRECTED, CommandCodec.redirect(node));
  }

  /** Renews the lease of a worker of an owned shard and sends commands to the worker. */
  void accept(long request, Worker worker, List<WorkerCommand> commands, long nowMicros) {
    long term = membership.term(worker.shard());
    worker.onAnswered(nowMicros, term);
    observer.onAnswered(worker.host());
    outbox.answer(request, ACCEPTED, CommandCodec.answer(term, commands));
  }

  /** Renews a worker's lease on behalf of its shard's owner. {@code term} is the owner's term. */
  void acceptAsDelegate(long request, long term, List<WorkerCommand> commands) {
    outbox.answer(request, ACCEPTED, CommandCodec.answer(term, commands));
  }
}
