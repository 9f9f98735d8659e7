package gladeknot.state;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** Reads, watches and leases of the state service as they go over the wire. */
final class StateServiceCodec {
  /** Status codes that decide something. */
  static final int OK = 200;

  static final int NOT_FOUND = 404;
  static final int COMPACTED = 410;
  static final int TOO_MANY_REQUESTS = 429;

  /** Collection of leases; a POST grants one. */
  static final String LEASES_PATH = "/holds";

  private static final String EPOCH = "epoch";
  private static final String STAMP = "stamp";
  private static final String DATA = "data";
  private static final String GRANT = "grant";
  private static final long MICROS_A_MILLI = 1000;

  /** One key with its entry, as a list shows it. */
  record ListedKey(String key, Entry entry) {}

  /** One page of a list; {@code revision} is the one at which it was read. */
  record ListPage(long revision, List<ListedKey> keys, boolean more) {}

  /** One event of a watch; {@code key} is null for a kind of event that is not known. */
  record WatchEvent(String key, Map<String, Object> data, long modRevision) {}

  /** The events of a watch; without a revision of its own the service names none. */
  record WatchReply(List<WatchEvent> events, OptionalLong revision) {}

  private StateServiceCodec() {}

  /** Path of a list of keys with a prefix, after a key that is left out; empty for the first. */
  static String listPath(String prefix, String afterKey, int limit) {
    String after = afterKey.isEmpty() ? "" : "&from=" + afterKey;
    return "/kv?starts=" + prefix + after + "&most=" + limit;
  }

  /** Path of a watch of the keys with a prefix, from the revision after the given one. */
  static String watchPath(String prefix, long afterRevision, int waitMillis) {
    return "/follow?starts=" + prefix + "&from=" + afterRevision + "&waitMs=" + waitMillis;
  }

  /** Path of one key. */
  static String keyPath(String key) {
    return "/kv/" + key;
  }

  /** Path that renews a lease with a POST. */
  static String renewalPath(long leaseId) {
    return LEASES_PATH + "/" + leaseId + "/extend";
  }

  /** Body of the request for a lease. */
  static Map<String, Object> leaseRequest(long ttlMicros) {
    return Json.of("ttlMs", ttlMicros / MICROS_A_MILLI);
  }

  /** The identifier of the lease that was granted; 0 if the reply names none. */
  static long grantedLease(Outbox.Reply reply) {
    return Json.num(reply.object(), GRANT, 0);
  }

  /** A page of a list, by a reply with status 200. */
  static ListPage listPage(Outbox.Reply reply) {
    Map<String, Object> body = reply.object();
    List<ListedKey> keys = new ArrayList<>();
    for (Map<String, Object> item : Json.objects(body, "items")) {
      Entry entry = new Entry(Json.map(item.get(DATA)), Json.num(item, STAMP, 0));
      keys.add(new ListedKey(Json.text(item, "path"), entry));
    }
    return new ListPage(Json.num(body, EPOCH, 0), keys, Json.flag(body, "more"));
  }

  /** The events of a watch, by a reply with status 200. */
  static WatchReply watchReply(Outbox.Reply reply) {
    Map<String, Object> body = reply.object();
    List<WatchEvent> events = new ArrayList<>();
    for (Map<String, Object> event : Json.objects(body, "events")) {
      events.add(watchEvent(event));
    }
    boolean named = body.get(EPOCH) instanceof Number;
    return new WatchReply(
        events, named ? OptionalLong.of(Json.num(body, EPOCH, 0)) : OptionalLong.empty());
  }

  private static WatchEvent watchEvent(Map<String, Object> event) {
    long modRevision = Json.num(event, STAMP, 0);
    String written = Json.text(event, "write");
    if (written == null) {
      return new WatchEvent(Json.text(event, "delete"), null, modRevision);
    }
    return new WatchEvent(written, Json.map(event.get(DATA)), modRevision);
  }

  /** The store's revision, by the reply to a read of a key that never exists; empty if unknown. */
  static OptionalLong revisionOfAbsentKey(Outbox.Reply reply) {
    long revision = reply.status() == NOT_FOUND ? Json.num(reply.object(), EPOCH, -1) : -1;
    return revision < 0 ? OptionalLong.empty() : OptionalLong.of(revision);
  }
}
