package gladeknot.standin;

import gladeknot.json.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol, in memory, driven by the time that {@link #advance} sets. */
public final class FakeStateStore {
  /** Is notified of each change as it is committed. */
  public interface ChangeListener {
    /** A key has a new value; null if it was deleted. */
    void changed(String key, Map<String, Object> value);

    /** All changes of a transaction have been notified. */
    default void transactionCommitted() {}
  }

  private static final int VALUE_BYTES = 8192;
  private static final int WRITES = 16;
  private static final int CONDITIONS_PER_WRITE = 4;
  private static final int TRANSACTION_BYTES = 64 * 1024;

  private record Value(Map<String, Object> data, long revision, long lease) {}

  /** A change; the data is null if the key was deleted. */
  private record Change(String key, Map<String, Object> data, long revision) {}

  private static final class Lease {
    private final long ttlMicros;
    private long expiresMicros;

    Lease(long ttlMicros) {
      this.ttlMicros = ttlMicros;
    }

    void renew(long nowMicros) {
      expiresMicros = nowMicros + ttlMicros;
    }
  }

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long epoch;
  private long writes;
  private long nextLease = 1;
  private long nowMicros;
  private int maxWrites = WRITES;
  private int maxValueBytes = VALUE_BYTES;
  private final List<ChangeListener> changeListeners = new ArrayList<>();
  private int rejectedForSize;
  private int commits;

  /** Limits the writes of a transaction; it may have four times as many conditions. */
  public void limitWrites(int most) {
    maxWrites = most;
  }

  /** Limits the JSON bytes of a value. */
  public void limitValueBytes(int most) {
    maxValueBytes = most;
  }

  /** Adds a listener of changes; none at first. */
  void addChangeListener(ChangeListener listener) {
    changeListeners.add(listener);
  }

  /** How many transactions were rejected for their size. */
  public int rejectedForSize() {
    return rejectedForSize;
  }

  /** How many transactions changed something. */
  public int commits() {
    return commits;
  }

  /** Puts and deletes so far. */
  public long writes() {
    return writes;
  }

  /** Sets the time and ends leases that have expired. */
  public void advance(long now) {
    nowMicros = now;
    for (Long lease : List.copyOf(leases.keySet())) {
      if (leases.get(lease).expiresMicros <= now) {
        expire(lease);
      }
    }
  }

  /** Sets the time without ending leases. */
  void setTime(long now) {
    nowMicros = now;
  }

  /** All leases get their full time again, as after an outage. */
  public void renewAll() {
    leases.values().forEach(lease -> lease.renew(nowMicros));
  }

  private void expire(long lease) {
    leases.remove(lease);
    List<String> attached =
        keys.entrySet().stream()
            .filter(entry -> entry.getValue().lease() == lease)
            .map(Map.Entry::getKey)
            .toList();
    if (!attached.isEmpty()) {
      epoch++;
      attached.forEach(key -> change(key, null, 0));
    }
  }

  private void change(String key, Map<String, Object> data, long lease) {
    writes++;
    if (data == null) {
      keys.remove(key);
    } else {
      keys.put(key, new Value(data, epoch, lease));
    }
    changes.add(new Change(key, data, epoch));
    changeListeners.forEach(listener -> listener.changed(key, data));
  }

  /** The value of a key; null if there is none. */
  public Map<String, Object> get(String key) {
    Value value = keys.get(key);
    return value == null ? null : value.data();
  }

  /** Changes a key as no controller would. */
  public void overwrite(String key, Map<String, Object> data) {
    epoch++;
    change(key, data, 0);
    changeListeners.forEach(ChangeListener::transactionCommitted);
  }

  /** All keys with a prefix, in order. */
  public List<String> keys(String prefix) {
    return List.copyOf(keys.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
  }

  /** Whether anything has changed after a revision. */
  public boolean changedSince(long from) {
    return epoch > from;
  }

  /** Serves a request; a watch is answered at once. */
  public ServiceResponse serve(String method, String uri, byte[] body) throws IOException {
    String path = uri.contains("?") ? uri.substring(0, uri.indexOf('?')) : uri;
    if (path.equals("/kv")) {
      return list(query(uri));
    }
    if (path.startsWith("/kv/")) {
      return read(path.substring("/kv/".length()));
    }
    if (path.equals("/follow")) {
      return follow(query(uri));
    }
    if (path.equals("/commit")) {
      return commit(Json.object(body));
    }
    if (path.equals("/holds")) {
      return grant(Json.longValue(Json.object(body), "ttlMs", 0) * 1000);
    }
    if (path.endsWith("/extend")) {
      return extend(Long.parseLong(path.split("/")[2]));
    }
    return new ServiceResponse(400, Json.of("error", "unknown request"));
  }

  private ServiceResponse read(String key) {
    Value value = keys.get(key);
    return value == null
        ? new ServiceResponse(404, Json.of("epoch", epoch))
        : new ServiceResponse(
            200, Json.of("path", key, "data", value.data(), "stamp", value.revision()));
  }

  private ServiceResponse grant(long ttlMicros) {
    Lease lease = new Lease(ttlMicros);
    lease.renew(nowMicros);
    leases.put(nextLease, lease);
    return new ServiceResponse(200, Json.of("grant", nextLease++));
  }

  private ServiceResponse extend(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return new ServiceResponse(404, Json.of());
    }
    lease.renew(nowMicros);
    return new ServiceResponse(200, Json.of());
  }

  /** The parameters of a request's query. */
  static Map<String, String> query(String uri) {
    Map<String, String> query = new HashMap<>();
    if (uri.contains("?")) {
      for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
        query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
      }
    }
    return query;
  }

  private ServiceResponse list(Map<String, String> query) {
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
      Value value = keys.get(key);
      items.add(Json.of("path", key, "data", value.data(), "stamp", value.revision()));
    }
    return new ServiceResponse(200, Json.of("items", items, "more", more, "epoch", epoch));
  }

  private ServiceResponse follow(Map<String, String> query) {
    long from = Long.parseLong(query.get("from"));
    List<Object> events = new ArrayList<>();
    for (Change change : changes) {
      if (change.revision() > from && change.key().startsWith(query.get("starts"))) {
        events.add(event(change));
      }
    }
    return new ServiceResponse(200, Json.of("epoch", epoch, "events", events));
  }

  private static Map<String, Object> event(Change change) {
    return change.data() == null
        ? Json.of("delete", change.key(), "stamp", change.revision())
        : Json.of("write", change.key(), "data", change.data(), "stamp", change.revision());
  }

  private boolean fits(Map<String, Object> transaction) {
    List<Map<String, Object>> changed = Json.objects(transaction, "writes");
    boolean values = true;
    for (Map<String, Object> write : changed) {
      values &= Json.bytes(Json.map(write.get("data"))).length <= maxValueBytes;
    }
    return values
        && changed.size() <= maxWrites
        && Json.objects(transaction, "if").size() <= CONDITIONS_PER_WRITE * maxWrites
        && Json.bytes(transaction).length <= TRANSACTION_BYTES;
  }

  private ServiceResponse commit(Map<String, Object> transaction) {
    if (!fits(transaction)) {
      rejectedForSize++;
      return new ServiceResponse(400, Json.of("error", "too many operations"));
    }
    List<Map<String, Object>> changed = Json.objects(transaction, "writes");
    for (Map<String, Object> write : changed) {
      long lease = Json.longValue(write, "grant", 0);
      if (lease != 0 && !leases.containsKey(lease)) {
        return new ServiceResponse(400, Json.of("error", "no such lease"));
      }
    }
    List<String> failed = failedConditions(transaction);
    if (!failed.isEmpty()) {
      return new ServiceResponse(409, Json.of("failed", failed, "epoch", epoch));
    }
    if (!changed.isEmpty()) {
      epoch++;
      commits++;
      changed.forEach(this::apply);
      changeListeners.forEach(ChangeListener::transactionCommitted);
    }
    return new ServiceResponse(200, Json.of("epoch", epoch));
  }

  private List<String> failedConditions(Map<String, Object> transaction) {
    List<String> failed = new ArrayList<>();
    for (Map<String, Object> condition : Json.objects(transaction, "if")) {
      Value value = keys.get(Json.text(condition, "path"));
      if ((value == null ? 0 : value.revision()) != Json.longValue(condition, "stamp", -1)) {
        failed.add(Json.text(condition, "path"));
      }
    }
    return failed;
  }

  private void apply(Map<String, Object> write) {
    if (write.containsKey("write")) {
      change(
          Json.text(write, "write"),
          Json.map(write.get("data")),
          Json.longValue(write, "grant", 0));
    } else {
      change(Json.text(write, "delete"), null, 0);
    }
  }
}
