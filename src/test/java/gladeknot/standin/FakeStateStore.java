package gladeknot.standin;

import gladeknot.json.Json;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Predicate;

/** In-memory state service that serves the protocol; {@link #advance} sets its time. */
public final class FakeStateStore {
  /** Listener that is notified of each change as it is committed. */
  public interface ChangeListener {
    /** Called when a key has a new value; the value is null if the key was deleted. */
    void changed(String key, Map<String, Object> value);

    /** Called when all changes of a transaction have been notified. */
    default void transactionCommitted() {}
  }

  private static final int DEFAULT_MAX_VALUE_BYTES = 8192;
  private static final int DEFAULT_MAX_WRITES = 16;
  private static final int MAX_CONDITIONS_PER_WRITE = 4;
  private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
  private static final int MAX_PAGE_KEYS = 1000;
  private static final int MAX_PAGE_BYTES = 512 * 1024;
  private static final int KEPT_CHANGES = 10_000;
  private static final int MAX_KEY_BYTES = 200;

  /** Reason of a refusal that no correct caller meets. */
  static final String MALFORMED_KEY = "malformed key";

  private record Value(Map<String, Object> data, long revision, long lease) {}

  /** A change of a key; the data is null if the key was deleted. */
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
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private long revision;

  /** Revision of the newest change that is no longer kept. */
  private long compactedRevision;

  private long writes;
  private long nextLease = 1;
  private long nowMicros;
  private int maxWrites = DEFAULT_MAX_WRITES;
  private int maxValueBytes = DEFAULT_MAX_VALUE_BYTES;
  private final List<ChangeListener> changeListeners = new ArrayList<>();
  private Predicate<String> refusedKeys = key -> false;
  private int rejectedForSize;
  private int rejectedForKeys;
  private int commits;

  /**
   * Limits the number of writes of a transaction; a transaction may have four times as many
   * preconditions.
   */
  public void limitWrites(int most) {
    maxWrites = most;
  }

  /** Limits the size of a value in bytes of JSON. */
  public void limitValueBytes(int most) {
    maxValueBytes = most;
  }

  /** Refuses all transactions that write certain keys, as if these were malformed. */
  public void refuseKeys(Predicate<String> condition) {
    refusedKeys = condition;
  }

  /** Returns the number of transactions that were rejected because of a key. */
  public int rejectedForKeys() {
    return rejectedForKeys;
  }

  /** Adds a listener of changes; initially there is none. */
  void addChangeListener(ChangeListener listener) {
    changeListeners.add(listener);
  }

  /** Returns the number of transactions that were rejected because of their size. */
  public int rejectedForSize() {
    return rejectedForSize;
  }

  /** Returns the number of transactions that changed something. */
  public int commits() {
    return commits;
  }

  /** Returns the number of keys written and deleted so far. */
  public long writes() {
    return writes;
  }

  /** Sets the time and ends the leases that have expired. */
  public void advance(long now) {
    nowMicros = now;
    for (Long lease : List.copyOf(leases.keySet())) {
      if (leases.get(lease).expiresMicros <= now) {
        expireLease(lease);
      }
    }
  }

  /** Sets the time without ending leases. */
  void setTime(long now) {
    nowMicros = now;
  }

  /** Renews all leases for their full time, as after an outage. */
  public void renewAll() {
    leases.values().forEach(lease -> lease.renew(nowMicros));
  }

  private void expireLease(long lease) {
    leases.remove(lease);
    List<String> attachedKeys =
        keys.entrySet().stream()
            .filter(entry -> entry.getValue().lease() == lease)
            .map(Map.Entry::getKey)
            .toList();
    if (!attachedKeys.isEmpty()) {
      revision++;
      attachedKeys.forEach(key -> change(key, null, 0));
    }
  }

  private void change(String key, Map<String, Object> data, long lease) {
    writes++;
    if (data == null) {
      keys.remove(key);
    } else {
      keys.put(key, new Value(data, revision, lease));
    }
    changes.add(new Change(key, data, revision));
    if (changes.size() > KEPT_CHANGES) {
      compactedRevision = changes.poll().revision();
    }
    changeListeners.forEach(listener -> listener.changed(key, data));
  }

  /** Returns the value of a key; null if there is none. */
  public Map<String, Object> get(String key) {
    Value value = keys.get(key);
    return value == null ? null : value.data();
  }

  /** Overwrites a key directly, without the preconditions that a controller would send. */
  public void overwrite(String key, Map<String, Object> data) {
    revision++;
    change(key, data, 0);
    changeListeners.forEach(ChangeListener::transactionCommitted);
  }

  /** Stores a key before any controller runs; no listener is notified and no change is kept. */
  public void preset(String key, Map<String, Object> data) {
    revision++;
    compactedRevision = revision;
    keys.put(key, new Value(data, revision, 0));
  }

  /** Returns all keys with a prefix, in order. */
  public List<String> keys(String prefix) {
    return List.copyOf(keys.subMap(prefix, prefix + Character.MAX_VALUE).keySet());
  }

  /** Returns whether anything has changed after a revision. */
  public boolean changedSince(long from) {
    return revision > from;
  }

  /** Serves a request; a watch is answered at once. */
  public ServiceResponse serve(String method, String uri, byte[] body) throws IOException {
    String path = decode(uri.contains("?") ? uri.substring(0, uri.indexOf('?')) : uri);
    if (path.equals("/kv")) {
      return list(query(uri));
    }
    if (path.startsWith("/kv/")) {
      return read(path.substring("/kv/".length()));
    }
    if (path.equals("/follow")) {
      return watch(query(uri));
    }
    if (path.equals("/commit")) {
      return commit(Json.object(body));
    }
    if (path.equals("/holds")) {
      return grantLease(Json.longValue(Json.object(body), "ttlMs", 0) * 1000);
    }
    if (path.endsWith("/extend")) {
      return renewLease(Long.parseLong(path.split("/")[2]));
    }
    return new ServiceResponse(400, Json.of("error", "unknown request"));
  }

  private ServiceResponse read(String key) {
    Value value = keys.get(key);
    return value == null
        ? new ServiceResponse(404, Json.of("epoch", revision))
        : new ServiceResponse(
            200, Json.of("path", key, "data", value.data(), "stamp", value.revision()));
  }

  private ServiceResponse grantLease(long ttlMicros) {
    Lease lease = new Lease(ttlMicros);
    lease.renew(nowMicros);
    leases.put(nextLease, lease);
    return new ServiceResponse(200, Json.of("grant", nextLease++));
  }

  private ServiceResponse renewLease(long id) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return new ServiceResponse(404, Json.of());
    }
    lease.renew(nowMicros);
    return new ServiceResponse(200, Json.of());
  }

  /** Returns the parameters of a request's query. */
  static Map<String, String> query(String uri) {
    Map<String, String> query = new HashMap<>();
    if (uri.contains("?")) {
      for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
        int separator = pair.indexOf('=');
        query.put(pair.substring(0, separator), decode(pair.substring(separator + 1)));
      }
    }
    return query;
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  /** Returns whether a key has the form that the protocol demands. */
  private static boolean isWellFormed(String key) {
    int bytes = key == null ? 0 : key.getBytes(StandardCharsets.UTF_8).length;
    return bytes >= 1
        && bytes <= MAX_KEY_BYTES
        && key.codePoints().noneMatch(c -> Character.isWhitespace(c) || Character.isSpaceChar(c));
  }

  /** Returns the keys that a transaction writes, deletes or has conditions on. */
  private static List<String> keysOf(Map<String, Object> transaction) {
    List<String> keys = new ArrayList<>();
    for (Map<String, Object> condition : Json.objects(transaction, "if")) {
      keys.add(Json.text(condition, "path"));
    }
    for (Map<String, Object> write : Json.objects(transaction, "writes")) {
      keys.add(Json.text(write, write.containsKey("write") ? "write" : "delete"));
    }
    return keys;
  }

  private ServiceResponse list(Map<String, String> query) {
    int most =
        Math.min(MAX_PAGE_KEYS, Integer.parseInt(query.getOrDefault("most", "" + MAX_PAGE_KEYS)));
    String prefix = query.get("starts");
    String from = query.getOrDefault("from", prefix);
    List<Object> items = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    SortedMap<String, Value> rest =
        keys.subMap(prefix, true, prefix + Character.MAX_VALUE, false).tailMap(from, false);
    for (Map.Entry<String, Value> entry : rest.entrySet()) {
      Value value = entry.getValue();
      Map<String, Object> item =
          Json.of("path", entry.getKey(), "data", value.data(), "stamp", value.revision());
      bytes += Json.bytes(item).length;
      if (items.size() == most || (bytes > MAX_PAGE_BYTES && !items.isEmpty())) {
        more = true;
        break;
      }
      items.add(item);
    }
    return new ServiceResponse(200, Json.of("items", items, "more", more, "epoch", revision));
  }

  private ServiceResponse watch(Map<String, String> query) {
    long from = Long.parseLong(query.get("from"));
    if (from < compactedRevision) {
      return new ServiceResponse(410, Json.of());
    }
    List<Object> events = new ArrayList<>();
    for (Change change : changes) {
      if (change.revision() > from && change.key().startsWith(query.get("starts"))) {
        events.add(event(change));
      }
    }
    return new ServiceResponse(200, Json.of("epoch", revision, "events", events));
  }

  private static Map<String, Object> event(Change change) {
    return change.data() == null
        ? Json.of("delete", change.key(), "stamp", change.revision())
        : Json.of("write", change.key(), "data", change.data(), "stamp", change.revision());
  }

  private boolean fitsLimits(Map<String, Object> transaction) {
    List<Map<String, Object>> changed = Json.objects(transaction, "writes");
    boolean values = true;
    for (Map<String, Object> write : changed) {
      values &= Json.bytes(Json.map(write.get("data"))).length <= maxValueBytes;
    }
    return values
        && changed.size() <= maxWrites
        && Json.objects(transaction, "if").size() <= MAX_CONDITIONS_PER_WRITE * maxWrites
        && Json.bytes(transaction).length <= MAX_TRANSACTION_BYTES;
  }

  private ServiceResponse commit(Map<String, Object> transaction) {
    if (!keysOf(transaction).stream().allMatch(FakeStateStore::isWellFormed)) {
      rejectedForKeys++;
      return new ServiceResponse(400, Json.of("error", MALFORMED_KEY));
    }
    if (keysOf(transaction).stream().anyMatch(refusedKeys)) {
      rejectedForKeys++;
      return new ServiceResponse(400, Json.of("error", "refused key"));
    }
    if (!fitsLimits(transaction)) {
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
      return new ServiceResponse(409, Json.of("failed", failed, "epoch", revision));
    }
    if (!changed.isEmpty()) {
      revision++;
      commits++;
      changed.forEach(this::apply);
      changeListeners.forEach(ChangeListener::transactionCommitted);
    }
    return new ServiceResponse(200, Json.of("epoch", revision));
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
