package gladeknot.state;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Codec for transactions and their outcomes in the state service's protocol. */
final class TransactionCodec {
  /** Path for POST requests with transactions. */
  static final String PATH = "/commit";

  private static final int OK = 200;
  private static final int MALFORMED = 400;
  private static final int FAILED_PRECONDITION = 409;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final long NO_REVISION = -1;
  private static final String NO_SUCH_LEASE = "no such lease";

  private TransactionCodec() {}

  /**
   * Encodes the body of a transaction.
   *
   * @param preconditions the revisions that keys must have, by key; 0 for an absent key
   */
  static Map<String, Object> body(Map<String, Long> preconditions, List<Mutation> mutations) {
    List<Object> encodedPreconditions = new ArrayList<>();
    preconditions.forEach(
        (key, revision) -> encodedPreconditions.add(Json.of("path", key, "stamp", revision)));
    List<Object> writes = new ArrayList<>();
    mutations.forEach(mutation -> writes.add(operation(mutation)));
    return Json.of("if", encodedPreconditions, "writes", writes);
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

  /** Decodes the outcome of a transaction from the reply. */
  static CommitOutcome outcome(Outbox.Reply reply) {
    Map<String, Object> body = reply.object();
    long revision = Json.longValue(body, "epoch", NO_REVISION);
    return switch (reply.status()) {
      case OK -> new CommitOutcome(CommitStatus.COMMITTED, revision, List.of());
      case FAILED_PRECONDITION ->
          new CommitOutcome(CommitStatus.CONFLICT, revision, Json.texts(body, "failed"));
      case TOO_MANY_REQUESTS -> withoutRevision(CommitStatus.THROTTLED);
      case SERVICE_UNAVAILABLE -> withoutRevision(CommitStatus.UNAVAILABLE);
      case MALFORMED -> withoutRevision(CommitStatus.REJECTED);
      default -> withoutRevision(CommitStatus.UNKNOWN);
    };
  }

  private static CommitOutcome withoutRevision(CommitStatus status) {
    return new CommitOutcome(status, NO_REVISION, List.of());
  }

  /** Returns the service's reason for rejecting a transaction, or null if it gave none. */
  static Object error(Outbox.Reply reply) {
    return reply.object().get("error");
  }

  /**
   * Returns whether a transaction was rejected because the lease to attach a key to does not exist.
   */
  static boolean isMissingLease(Outbox.Reply reply) {
    return NO_SUCH_LEASE.equals(error(reply));
  }

  /** Returns the keys of a transaction with the number of bytes written to each, for the log. */
  static List<String> sizes(List<Mutation> mutations) {
    return mutations.stream()
        .map(m -> m.key() + " " + (m.isDelete() ? 0 : Json.bytes(m.data()).length))
        .toList();
  }
}
