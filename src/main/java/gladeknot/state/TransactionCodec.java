package gladeknot.state;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Transactions and their answers as they go over the wire. */
final class TransactionCodec {
  private static final int OK = 200;
  private static final int MALFORMED = 400;
  private static final int FAILED_CONDITION = 409;
  private static final int TOO_MANY = 429;
  private static final int OUT_OF_ORDER = 503;
  private static final long NO_EPOCH = -1;

  private TransactionCodec() {}

  /** The body of a request. */
  static Map<String, Object> body(Map<String, Long> conditions, List<Mutation> changes) {
    List<Object> ifs = new ArrayList<>();
    conditions.forEach((key, stamp) -> ifs.add(Json.of("path", key, "stamp", stamp)));
    List<Object> writes = new ArrayList<>();
    changes.forEach(write -> writes.add(operation(write)));
    return Json.of("if", ifs, "writes", writes);
  }

  private static Map<String, Object> operation(Mutation write) {
    if (write.data() == null) {
      return Json.of("delete", write.key());
    }
    Map<String, Object> put = Json.of("write", write.key(), "data", write.data());
    if (write.leaseId() != 0) {
      put.put("grant", write.leaseId());
    }
    return put;
  }

  /** How a transaction ended, by the reply to it. */
  static CommitOutcome outcome(Outbox.Reply reply) {
    Map<String, Object> body = reply.object();
    long at = Json.num(body, "epoch", NO_EPOCH);
    return switch (reply.status()) {
      case OK -> new CommitOutcome(CommitStatus.COMMITTED, at, List.of());
      case FAILED_CONDITION ->
          new CommitOutcome(CommitStatus.CONFLICT, at, Json.texts(body, "failed"));
      case TOO_MANY -> new CommitOutcome(CommitStatus.THROTTLED, NO_EPOCH, List.of());
      case OUT_OF_ORDER -> new CommitOutcome(CommitStatus.UNAVAILABLE, NO_EPOCH, List.of());
      case MALFORMED -> new CommitOutcome(CommitStatus.REJECTED, NO_EPOCH, List.of());
      default -> new CommitOutcome(CommitStatus.UNKNOWN, NO_EPOCH, List.of());
    };
  }

  /** The keys of a transaction with the bytes that are written to each. */
  static List<String> sizes(List<Mutation> changes) {
    return changes.stream()
        .map(w -> w.key() + " " + (w.data() == null ? 0 : Json.bytes(w.data()).length))
        .toList();
  }
}
