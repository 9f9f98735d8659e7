package gladeknot.state;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Transactions and their outcomes as they go over the wire. */
final class TransactionCodec {
  /** Path to which transactions are posted. */
  static final String PATH = "/commit";

  private static final int OK = 200;
  private static final int MALFORMED = 400;
  private static final int FAILED_CONDITION = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int OUT_OF_ORDER = 503;
  private static final long NO_REVISION = -1;
  private static final String NO_SUCH_LEASE = "no such lease";

  private TransactionCodec() {}

  /** The body of a transaction; conditions name the revision of each key, 0 for an absent one. */
  static Map<String, Object> body(Map<String, Long> conditions, List<Mutation> mutations) {
    List<Object> ifs = new ArrayList<>();
    conditions.forEach((key, revision) -> ifs.add(Json.of("path", key, "stamp", revision)));
    List<Object> writes = new ArrayList<>();
    mutations.forEach(mutation -> writes.add(operation(mutation)));
    return Json.of("if", ifs, "writes", writes);
  }

  private static Map<String, Object> operation(Mutation mutation) {
    if (mutation.isDelete()) {
      return Json.of("delete", mutation.key());
    }
    Map<String, Object> put = Json.of("write", mutation.key(), "data", mutation.data());
    if (mutation.leaseId() != 0) {
      put.put("grant", mutation.leaseId());
    }
    return put;
  }

  /** How a transaction ended, by the reply to it. */
  static CommitOutcome outcome(Outbox.Reply reply) {
    Map<String, Object> body = reply.object();
    long revision = Json.num(body, "epoch", NO_REVISION);
    return switch (reply.status()) {
      case OK -> new CommitOutcome(CommitStatus.COMMITTED, revision, List.of());
      case FAILED_CONDITION ->
          new CommitOutcome(CommitStatus.CONFLICT, revision, Json.texts(body, "failed"));
      case TOO_MANY_REQUESTS -> withoutRevision(CommitStatus.THROTTLED);
      case OUT_OF_ORDER -> withoutRevision(CommitStatus.UNAVAILABLE);
      case MALFORMED -> withoutRevision(CommitStatus.REJECTED);
      default -> withoutRevision(CommitStatus.UNKNOWN);
    };
  }

  private static CommitOutcome withoutRevision(CommitStatus status) {
    return new CommitOutcome(status, NO_REVISION, List.of());
  }

  /** Why a transaction was rejected, in the service's words; null if it names no reason. */
  static Object error(Outbox.Reply reply) {
    return reply.object().get("error");
  }

  /** Whether a transaction was rejected because the lease to attach to does not exist. */
  static boolean isMissingLease(Outbox.Reply reply) {
    return NO_SUCH_LEASE.equals(error(reply));
  }

  /** The keys of a transaction with the bytes that are written to each, for the log. */
  static List<String> sizes(List<Mutation> mutations) {
    return mutations.stream()
        .map(m -> m.key() + " " + (m.isDelete() ? 0 : Json.bytes(m.data()).length))
        .toList();
  }
}
