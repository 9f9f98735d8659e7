package rig;

import gladeknot.json.Json;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of the protocol page, with its limits, leases and the last 10,000 changes. */
public final class StateService {
  private static final int KEPT_CHANGES = 10_000;
  private static final int PAGE_BYTES = 512 * 1024;

  private record Value(byte[] data, long stamp, long grant) {}

  private record Change(String key, byte[] data, long stamp) {}

  private static final class Lease {
    long ttl;
    long ends;
  }

  /** What one controller meets; the others are not touched. */
  public static final class Link {
    public volatile boolean refused;
    public volatile boolean silent;
    public volatile long followBytes;
    public volatile long largestFollow;
    public volatile int follows;
  }

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int txnOps;
  private double requestTokens;
  private double writeTokens;
  private long refilled = System.nanoTime();
  private long epoch;
  private long compacted;
  private long nextGrant = 1;
  /** Time until a request is served; the site files have 2 to 4 ms. */
  public volatile long latencyMillis = 2;
  public long throttled;
  public long listPages;
  public long listsBegun;
  public long writes;
  public long tooLarge;
  public long compactedAnswers;

  public StateService(double rps, double writeRps, int valueBytes, int txnOps) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = valueBytes;
    this.txnOps = txnOps;
    this.requestTokens = rps;
    this.writeTokens = writeRps;
    Http.start("leases", this::expire);
  }

  private void expire() {
    while (true) {
      Rig.pause(20);
      synchronized (this) {
        long now = System.nanoTime();
        for (Iterator<Map.Entry<Long, Lease>> i = leases.entrySet().iterator(); i.hasNext(); ) {
          Map.Entry<Long, Lease> lease = i.next();
          if (lease.getValue().ends <= now) {
            i.remove();
            List<String> attached = new ArrayList<>();
            keys.forEach((key, value) -> {
              if (value.grant() == lease.getKey()) {
                attached.add(key);
              }
            });
            if (!attached.isEmpty()) {
              epoch++;
              attached.forEach(key -> change(key, null, 0));
            }
          }
        }
        notifyAll();
      }
    }
  }

  private void change(String key, byte[] data, long grant) {
    writes++;
    if (data == null) {
      keys.remove(key);
    } else {
      keys.put(key, new Value(data, epoch, grant));
    }
    changes.add(new Change(key, data, epoch));
    if (changes.size() > KEPT_CHANGES) {
      compacted = changes.poll().stamp();
    }
  }

  /** Puts a key before any controller runs. */
  public synchronized void preset(String key, Map<String, Object> data) {
    epoch++;
    keys.put(key, new Value(Json.bytes(data), epoch, 0));
    compacted = epoch;
  }

  public synchronized Map<String, Object> get(String key) {
    Value value = keys.get(key);
    try {
      return value == null ? null : Json.object(value.data());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  public synchronized Map<String, Integer> sizes(String prefix) {
    Map<String, Integer> sizes = new TreeMap<>();
    keys.subMap(prefix, prefix + "\uffff").forEach((key, value) -> sizes.put(key, value.data().length));
    return sizes;
  }

  public synchronized long epoch() {
    return epoch;
  }

  private boolean take(double requests, double puts) {
    long now = System.nanoTime();
    double seconds = (now - refilled) / 1e9;
    refilled = now;
    requestTokens = Math.min(rps, requestTokens + seconds * rps);
    writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
    if (requestTokens < requests || writeTokens < puts) {
      throttled++;
      return false;
    }
    requestTokens -= requests;
    writeTokens -= puts;
    return true;
  }

  private static Http.Answer answer(int status, Object... body) {
    return new Http.Answer(status, Json.bytes(Json.of(body)));
  }

  /** Serves a request that came over a controller's link. */
  public Http.Answer serve(Link link, String method, String uri, byte[] body) throws Exception {
    if (uri.startsWith("/follow")) {
      return follow(link, query(uri));
    }
    Rig.pause(latencyMillis);
    while (link.silent) {
      Rig.pause(20);
    }
    if (link.refused) {
      return answer(503);
    }
    synchronized (this) {
      if (uri.equals("/commit")) {
        return commit(Json.object(body));
      }
      if (!take(1, 0)) {
        return answer(429);
      }
      if (uri.startsWith("/kv?")) {
        return list(query(uri));
      }
      if (uri.startsWith("/kv/")) {
        Value value = keys.get(uri.substring(4));
        return value == null
            ? answer(404, "epoch", epoch)
            : answer(200, "path", uri.substring(4), "data", Json.parse(value.data()), "stamp", value.stamp());
      }
      if (uri.equals("/holds")) {
        Lease lease = new Lease();
        lease.ttl = Json.longValue(Json.object(body), "ttlMs", 0) * 1_000_000L;
        lease.ends = System.nanoTime() + lease.ttl;
        leases.put(nextGrant, lease);
        return answer(200, "grant", nextGrant++);
      }
      if (uri.endsWith("/extend")) {
        Lease lease = leases.get(Long.parseLong(uri.split("/")[2]));
        if (lease == null) {
          return answer(404);
        }
        lease.ends = System.nanoTime() + lease.ttl;
        return answer(200);
      }
      return answer(400);
    }
  }

  static Map<String, String> query(String uri) {
    Map<String, String> query = new HashMap<>();
    for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
      query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
    }
    return query;
  }

  private Http.Answer list(Map<String, String> query) {
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
    String prefix = query.get("starts");
    String from = query.getOrDefault("from", "");
    listPages++;
    listsBegun += from.isEmpty() ? 1 : 0;
    StringBuilder out = new StringBuilder("{\"items\":[");
    int count = 0;
    boolean more = false;
    for (Map.Entry<String, Value> entry : keys.tailMap(from.isEmpty() ? prefix : from, from.isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (count == most || out.length() + entry.getValue().data().length > PAGE_BYTES - 1000) {
        more = true;
        break;
      }
      out.append(count++ == 0 ? "" : ",").append("{\"path\":\"").append(entry.getKey()).append("\",\"data\":");
      out.append(text(entry.getValue().data())).append(",\"stamp\":").append(entry.getValue().stamp()).append('}');
    }
    out.append("],\"more\":").append(more).append(",\"epoch\":").append(epoch).append('}');
    return new Http.Answer(200, out.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
  }

  private static String text(byte[] json) {
    return new String(json, java.nio.charset.StandardCharsets.UTF_8);
  }

  private Http.Answer follow(Link link, Map<String, String> query) throws InterruptedException {
    long from = Long.parseLong(query.get("from"));
    long ends = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
    String prefix = query.get("starts");
    StringBuilder out = new StringBuilder();
    synchronized (this) {
      if (!link.refused && !link.silent && !take(1, 0)) {
        return answer(429);
      }
      while (link.refused || link.silent || (epoch <= from && System.nanoTime() < ends)) {
        wait(5);
      }
      if (from < compacted) {
        compactedAnswers++;
        return answer(410);
      }
      out.append("{\"epoch\":").append(epoch).append(",\"events\":[");
      boolean first = true;
      for (Change change : changes) {
        if (change.stamp() > from && change.key().startsWith(prefix)) {
          out.append(first ? "" : ",");
          first = false;
          if (change.data() == null) {
            out.append("{\"delete\":\"").append(change.key());
            out.append("\",\"stamp\":").append(change.stamp()).append('}');
          } else {
            out.append("{\"write\":\"").append(change.key()).append("\",\"data\":").append(text(change.data()));
            out.append(",\"stamp\":").append(change.stamp()).append('}');
          }
        }
      }
      out.append("]}");
    }
    byte[] bytes = out.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    link.follows++;
    link.followBytes += bytes.length;
    link.largestFollow = Math.max(link.largestFollow, bytes.length);
    return new Http.Answer(200, bytes);
  }

  private Http.Answer commit(Map<String, Object> transaction) {
    List<Map<String, Object>> changed = Json.objects(transaction, "writes");
    List<Map<String, Object>> conditions = Json.objects(transaction, "if");
    boolean fits = changed.size() <= txnOps && conditions.size() <= 4 * txnOps
        && Json.bytes(transaction).length <= 64 * 1024;
    for (Map<String, Object> write : changed) {
      fits &= write.get("data") == null || Json.bytes(write.get("data")).length <= valueBytes;
      long grant = Json.longValue(write, "grant", 0);
      if (grant != 0 && !leases.containsKey(grant)) {
        return answer(400, "error", "no such lease");
      }
    }
    if (!fits) {
      tooLarge++;
      return answer(400, "error", "too large");
    }
    if (!take(1, changed.size())) {
      return answer(429);
    }
    List<String> failed = new ArrayList<>();
    for (Map<String, Object> condition : conditions) {
      Value value = keys.get(Json.text(condition, "path"));
      if ((value == null ? 0 : value.stamp()) != Json.longValue(condition, "stamp", -1)) {
        failed.add(Json.text(condition, "path"));
      }
    }
    if (!failed.isEmpty()) {
      return answer(409, "failed", failed, "epoch", epoch);
    }
    if (!changed.isEmpty()) {
      epoch++;
      for (Map<String, Object> write : changed) {
        if (write.containsKey("write")) {
          change(Json.text(write, "write"), Json.bytes(write.get("data")), Json.longValue(write, "grant", 0));
        } else {
          change(Json.text(write, "delete"), null, 0);
        }
      }
      notifyAll();
    }
    return answer(200, "epoch", epoch);
  }
}
