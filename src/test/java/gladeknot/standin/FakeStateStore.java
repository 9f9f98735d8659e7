package gladeknot.standin;

import gladeknot.json.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The state service as its page describes it, in memory, driven by the time that it is told. */
public final class FakeStateStore {
  /** An answer. */
  public record Answer(int status, Map<String, Object> body) {}

  private record Value(Map<String, Object> data, long stamp, long grant) {}

  private record Change(String key, Map<String, Object> data, long stamp) {}

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, long[]> grants = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long epoch;
  private long writes;
  private long nextGrant = 1;
  private long nowMicros;

  /** What a transaction may hold: changes, four times as many conditions, bytes a value. */
  public int mostChanges = 16;

  public int mostValueBytes = 8192;

  /** Hears of each change as it is carried out. */
  public BiConsumer<String, Map<String, Object>> changeListener = (key, data) -> {};

  /** Transactions that were refused for their size. */
  public int tooLarge;

  /** How many transactions changed something. */
  public int commits;

  /** Sets the time and ends leases that have run out. */
  public void advance(long now) {
    nowMicros = now;
    for (Long grant : List.copyOf(grants.keySet())) {
      if (grants.get(grant)[0] <= now) {
        end(grant);
      }
    }
  }

  /** All leases get their full time again, as after an outage. */
  public void renewAll() {
    grants.values().forEach(g -> g[0] = nowMicros + g[1]);
  }

  private void end(long grant) {
    grants.remove(grant);
    List<String> attached =
        keys.entrySet().stream()
            .filter(e -> e.getValue().grant() == grant)
            .map(Map.Entry::getKey)
            .toList();
    if (!attached.isEmpty()) {
      epoch++;
      attached.forEach(k -> change(k, null, 0));
    }
  }

  /** Puts and deletes so far. */
  public long writes() {
    return writes;
  }

  private void change(String key, Map<String, Object> data, long grant) {
    writes++;
    if (data == null) {
      keys.remove(key);
    } else {
      keys.put(key, new Value(data, epoch, grant));
    }
    changes.add(new Change(key, data, epoch));
    changeListener.accept(key, data);
  }

  /** The value of a key; null if there is none. */
  public Map<String, Object> get(String key) {
    Value value = keys.get(key);
    return value == null ? null : value.data();
  }

  public List<String> keys(String prefix) {
    return List.copyOf(keys.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
  }

  /** Whether a watch has something to tell by now. */
  public boolean changedSince(long from) {
    return epoch > from;
  }

  /** Serves a request; a watch is answered at once. */
  public Answer serve(String method, String uri, byte[] body) throws java.io.IOException {
    String path = uri.contains("?") ? uri.substring(0, uri.indexOf('?')) : uri;
    Map<String, String> query = query(uri);
    if (path.equals("/kv")) {
      return list(query);
    }
    if (path.startsWith("/kv/")) {
      Value v = keys.get(path.substring(4));
      return v == null
          ? new Answer(404, Json.of("epoch", epoch))
          : new Answer(
              200, Json.of("path", path.substring(4), "data", v.data(), "stamp", v.stamp()));
    }
    if (path.equals("/follow")) {
      return follow(query);
    }
    if (path.equals("/commit")) {
      return commit(Json.object(body));
    }
    if (path.equals("/holds")) {
      long ttl = Json.num(Json.object(body), "ttlMs", 0) * 1000;
      grants.put(nextGrant, new long[] {nowMicros + ttl, ttl});
      return new Answer(200, Json.of("grant", nextGrant++));
    }
    if (path.endsWith("/extend")) {
      long[] grant = grants.get(Long.parseLong(path.split("/")[2]));
      if (grant == null) {
        return new Answer(404, Json.of());
      }
      grant[0] = nowMicros + grant[1];
      return new Answer(200, Json.of());
    }
    return new Answer(400, Json.of("error", "unknown request"));
  }

  static Map<String, String> query(String uri) {
    Map<String, String> query = new HashMap<>();
    if (uri.contains("?")) {
      for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
        query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
      }
    }
    return query;
  }

  private Answer list(Map<String, String> query) {
    int most = Integer.parseInt(query.getOrDefault("most", "1000"));
    String from = query.getOrDefault("from", "");
    List<Object> items = new ArrayList<>();
    boolean more = false;
    for (String key : keys(query.get("starts"))) {
      if (key.compareTo(from) <= 0) {
        continue;
      }
      if (items.size() == most) {
        more = true;
        break;
      }
      Value v = keys.get(key);
      items.add(Json.of("path", key, "data", v.data(), "stamp", v.stamp()));
    }
    return new Answer(200, Json.of("items", items, "more", more, "epoch", epoch));
  }

  private Answer follow(Map<String, String> query) {
    long from = Long.parseLong(query.get("from"));
    List<Object> events = new ArrayList<>();
    for (Change c : changes) {
      if (c.stamp() > from && c.key().startsWith(query.get("starts"))) {
        events.add(
            c.data() == null
                ? Json.of("delete", c.key(), "stamp", c.stamp())
                : Json.of("write", c.key(), "data", c.data(), "stamp", c.stamp()));
      }
    }
    return new Answer(200, Json.of("epoch", epoch, "events", events));
  }

  private boolean fits(Map<String, Object> txn) {
    boolean values = true;
    for (Map<String, Object> w : Json.objects(txn, "writes")) {
      values &= Json.bytes(Json.map(w.get("data"))).length <= mostValueBytes;
    }
    return values
        && Json.objects(txn, "writes").size() <= mostChanges
        && Json.objects(txn, "if").size() <= 4 * mostChanges
        && Json.bytes(txn).length <= 64 * 1024;
  }

  private Answer commit(Map<String, Object> txn) {
    if (!fits(txn)) {
      tooLarge++;
      return new Answer(400, Json.of("error", "too many operations"));
    }
    for (Map<String, Object> w : Json.objects(txn, "writes")) {
      long grant = Json.num(w, "grant", 0);
      if (grant != 0 && !grants.containsKey(grant)) {
        return new Answer(400, Json.of("error", "no such lease"));
      }
    }
    List<String> failed = new ArrayList<>();
    for (Map<String, Object> c : Json.objects(txn, "if")) {
      Value v = keys.get(Json.text(c, "path"));
      if ((v == null ? 0 : v.stamp()) != Json.num(c, "stamp", -1)) {
        failed.add(Json.text(c, "path"));
      }
    }
    if (!failed.isEmpty()) {
      return new Answer(409, Json.of("failed", failed, "epoch", epoch));
    }
    List<Map<String, Object>> writes = Json.objects(txn, "writes");
    if (!writes.isEmpty()) {
      epoch++;
      commits++;
      for (Map<String, Object> w : writes) {
        if (w.containsKey("write")) {
          change(Json.text(w, "write"), Json.map(w.get("data")), Json.num(w, "grant", 0));
        } else {
          change(Json.text(w, "delete"), null, 0);
        }
      }
    }
    return new Answer(200, Json.of("epoch", epoch));
  }
}
