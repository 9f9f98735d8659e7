package gladeknot.state;

import com.google.common.escape.Escaper;
import com.google.common.net.PercentEscaper;
import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** Codec for the reads, watches and lease requests of the state service's protocol. */
final class StateServiceCodec {
  /** HTTP status codes that are handled specially. */
  static final int OK = 200;

  static final int NOT_FOUND = 404;
  static final int COMPACTED = 410;
  static final int TOO_MANY_REQUESTS = 429;

  /** Path of the collection of leases; a POST grants a lease. */
  static final String LEASES_PATH = "/holds";

  private static final String REVISION = "epoch";
  private static final String MOD_REVISION = "stamp";
  private static final String DATA = "data";
  private static final String LEASE_ID = "grant";
  private static final long MICROS_PER_MILLI = 1000;

  /** Escapes what a path and a query can't contain, and plus signs. */
  private static final Escaper KEY_ESCAPER = new PercentEscaper("-._~/", false);

  /** One event of a watch; {@code key} is null if the kind of event is not known. */
  record WatchEvent(String key, Map<String, Object> data, long modRevision) {}

  /** The events of a watch; {@code revision} is empty if the reply does not contain a revision. */
  record WatchReply(List<WatchEvent> events, OptionalLong revision) {}

  private StateServiceCodec() {}

  /**
   * Returns the path of a page of the list of keys with a prefix.
   *
   * @param afterKey the key after which the page begins; empty for the first page
   */
  static String listPath(String prefix, String afterKey, int limit) {
    String after = afterKey.isEmpty() ? "" : "&from=" + escape(afterKey);
    return "/kv?starts=" + prefix + after + "&most=" + limit;
  }

  /**
   * Returns the path of a watch of the keys with a prefix, for changes after the given revision.
   */
  static String watchPath(String prefix, long afterRevision, int waitMillis) {
    return "/follow?starts=" + prefix + "&from=" + afterRevision + "&waitMs=" + waitMillis;
  }

  /** Returns the path of one key. */
  static String keyPath(String key) {
    return "/kv/" + escape(key);
  }

  /** Returns a key as it appears in a path or a query, in which slashes are not escaped. */
  private static String escape(String key) {
    return KEY_ESCAPER.escape(key);
  }

  /** Returns the path of a POST that renews a lease. */
  static String renewalPath(long leaseId) {
    return LEASES_PATH + "/" + leaseId + "/extend";
  }

  /** Returns the body of a request for a lease. */
  static Map<String, Object> leaseRequest(long ttlMicros) {
    return Json.of("ttlMs", ttlMicros / MICROS_PER_MILLI);
  }

  /** Returns the identifier of the granted lease, or 0 if the reply contains none. */
  static long grantedLease(Outbox.Reply reply) {
    return Json.longValue(reply.object(), LEASE_ID, 0);
  }

  /** Decodes a page of a list from a reply with status 200. */
  static ListPage listPage(Outbox.Reply reply) {
    Map<String, Object> body = reply.object();
    List<ListedKey> keys = new ArrayList<>();
    for (Map<String, Object> item : Json.objects(body, "items")) {
      keys.add(new ListedKey(Json.text(item, "path"), entry(item)));
    }
    return new ListPage(Json.longValue(body, REVISION, 0), keys, Json.flag(body, "more"));
  }

  /** Decodes the events of a watch from a reply with status 200. */
  static WatchReply watchReply(Outbox.Reply reply) {
    Map<String, Object> body = reply.object();
    List<WatchEvent> events = new ArrayList<>();
    for (Map<String, Object> event : Json.objects(body, "events")) {
      events.add(watchEvent(event));
    }
    boolean hasRevision = body.get(REVISION) instanceof Number;
    return new WatchReply(
        events,
        hasRevision ? OptionalLong.of(Json.longValue(body, REVISION, 0)) : OptionalLong.empty());
  }

  private static WatchEvent watchEvent(Map<String, Object> event) {
    long modRevision = Json.longValue(event, MOD_REVISION, 0);
    String writtenKey = Json.text(event, "write");
    if (writtenKey == null) {
      return new WatchEvent(Json.text(event, "delete"), null, modRevision);
    }
    return new WatchEvent(writtenKey, Json.map(event.get(DATA)), modRevision);
  }

  /** Decodes the reply to the read of one key. */
  static KeyRead keyRead(Outbox.Reply reply) {
    return switch (reply.status()) {
      case OK -> new KeyRead.Found(entry(reply.object()));
      case NOT_FOUND -> new KeyRead.Absent();
      default -> new KeyRead.Failed();
    };
  }

  private static Entry entry(Map<String, Object> item) {
    return new Entry(Json.map(item.get(DATA)), Json.longValue(item, MOD_REVISION, 0));
  }

  /**
   * Decodes the state service's revision from the reply to a read of a key that never exists; empty
   * if the reply does not contain it.
   */
  static OptionalLong revisionOfAbsentKey(Outbox.Reply reply) {
    long revision = reply.status() == NOT_FOUND ? Json.longValue(reply.object(), REVISION, -1) : -1;
    return revision < 0 ? OptionalLong.empty() : OptionalLong.of(revision);
  }
}
