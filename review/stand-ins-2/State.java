package review2;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL-gladeknot.md, with all its limits. */
final class State {
  private record Value(Object data, long stamp, long grant) {}

  private record Event(String key, Object data, long stamp) {}

  private final TreeMap<String, Value> keys = new TreeMap<>();
  private final ArrayList<Event> events = new ArrayList<>();
  private final Map<Long, long[]> grants = new HashMap<>();
  private long dropped;
  private long epoch;
  private long nextGrant = 7;
  private final double rps;
  private final double writeRps;
  private double requests;
  private double writes;
  private long refilled = System.nanoTime();
  private final int valueBytes;
  private final int operations;
  long refused429;
  final List<String> malformed = new ArrayList<>();

  /** Faults; both may be replaced by a case. */
  interface Fault {
    /** Milliseconds by which the answer to a request that was carried out comes later. */
    long delayMs(int node, String method, String uri, String body);
  }

  volatile Fault fault = (node, method, uri, body) -> 0;

  State(double rps, double writeRps, int valueKb, int operations) {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = valueKb * 1024;
    this.operations = operations;
    requests = rps;
    writes = writeRps;
  }

  /** Nodes that get 503, and whether all do (an outage, after which all leases get their full time again). */
  final boolean[] refuses = new boolean[3];
  private volatile boolean outage;

  synchronized void outage(boolean begins) {
    if (!begins) {
      grants.values().forEach(g -> g[1] = System.nanoTime() + g[0]);
    }
    outage = begins;
  }

  Http.Service forNode(int node) {
    return (method, uri, body) -> {
      if (refuses[node] || outage) {
        if (!uri.startsWith("/follow")) {
          return reply(503);
        }
        for (int k = 0; k < 130 && (refuses[node] || outage); k++) {
          Site.sleep(100);
        }
      }
      Http.Reply reply = serve(method, uri, body);
      long ms = fault.delayMs(node, method, uri, body);
      if (ms > 0) {
        Site.sleep(ms);
      }
      return reply;
    };
  }

  private synchronized void refill() {
    long now = System.nanoTime();
    double s = (now - refilled) / 1e9;
    refilled = now;
    requests = Math.min(rps, requests + s * rps);
    writes = Math.min(writeRps, writes + s * writeRps);
    for (Map.Entry<Long, long[]> g : new ArrayList<>(grants.entrySet())) {
      if (!outage && now > g.getValue()[1]) {
        end(g.getKey());
      }
    }
  }

  private void end(long grant) {
    grants.remove(grant);
    List<String> gone = new ArrayList<>();
    keys.forEach((k, v) -> {
      if (v.grant == grant) {
        gone.add(k);
      }
    });
    if (!gone.isEmpty()) {
      epoch++;
      gone.forEach(k -> change(k, null, 0));
    }
  }

  private void change(String key, Object data, long grant) {
    if (data == null) {
      if (keys.remove(key) == null) {
        return;
      }
    } else {
      keys.put(key, new Value(data, epoch, grant));
    }
    events.add(new Event(key, data, epoch));
    if (events.size() > 10_000) {
      dropped = events.remove(0).stamp;
    }
    notifyAll();
  }

  private static Http.Reply reply(int status, Object... pairs) {
    return new Http.Reply(status, Json.write(Json.of(pairs)));
  }

  private Http.Reply malformed(String why) {
    malformed.add(why);
    return reply(400, "error", why);
  }

  private Http.Reply serve(String method, String uri, String body) {
    synchronized (this) {
      refill();
      if (requests < 1) {
        refused429++;
        return reply(429);
      }
      requests--;
    }
    if (uri.startsWith("/follow")) {
      return follow(query(uri));
    }
    synchronized (this) {
      if (uri.startsWith("/kv/")) {
        String key = uri.substring(4);
        Value v = keys.get(key);
        return v == null
            ? reply(404, "epoch", epoch)
            : reply(200, "path", key, "data", v.data, "stamp", v.stamp, "grant", v.grant);
      }
      if (uri.startsWith("/kv?")) {
        return list(query(uri));
      }
      if (uri.equals("/commit")) {
        return commit(body);
      }
      if (uri.equals("/holds")) {
        long ttl = Json.number(Json.object(body), "ttlMs", 0);
        if (ttl < 100 || ttl > 600_000) {
          return malformed("ttlMs");
        }
        long grant = nextGrant++;
        grants.put(grant, new long[] {ttl * 1_000_000, System.nanoTime() + ttl * 1_000_000});
        return reply(200, "grant", grant);
      }
      if (uri.startsWith("/holds/")) {
        long grant = Long.parseLong(uri.split("/")[2]);
        long[] g = grants.get(grant);
        if (g == null) {
          return reply(404);
        }
        if (method.equals("DELETE")) {
          end(grant);
        } else {
          g[1] = System.nanoTime() + g[0];
        }
        return reply(200, "grant", grant);
      }
      return malformed("path " + uri);
    }
  }

  private static Map<String, String> query(String uri) {
    Map<String, String> q = new HashMap<>();
    for (String part : uri.substring(uri.indexOf('?') + 1).split("&")) {
      int eq = part.indexOf('=');
      q.put(part.substring(0, eq), part.substring(eq + 1));
    }
    return q;
  }

  private Http.Reply list(Map<String, String> q) {
    String prefix = q.get("starts");
    String from = q.getOrDefault("from", "");
    int most = Math.min(1000, Integer.parseInt(q.getOrDefault("most", "1000")));
    List<Object> items = new ArrayList<>();
    boolean more = false;
    long bytes = 0;
    for (Map.Entry<String, Value> e : keys.tailMap(from, false).entrySet()) {
      if (!e.getKey().startsWith(prefix)) {
        continue;
      }
      Map<String, Object> item =
          Json.of("path", e.getKey(), "data", e.getValue().data, "stamp", e.getValue().stamp);
      bytes += Json.write(item).length() + 1;
      if (items.size() >= most || bytes > 500_000) {
        more = true;
        break;
      }
      items.add(item);
    }
    return reply(200, "items", items, "more", more, "epoch", epoch);
  }

  private Http.Reply follow(Map<String, String> q) {
    String prefix = q.get("starts");
    long from = Long.parseLong(q.get("from"));
    long until = System.nanoTime() + Math.min(60_000, Long.parseLong(q.getOrDefault("waitMs", "0"))) * 1_000_000;
    synchronized (this) {
      while (true) {
        refill();
        if (from < dropped) {
          return reply(410);
        }
        List<Object> found = new ArrayList<>();
        int k = events.size();
        while (k > 0 && events.get(k - 1).stamp > from) {
          k--;
        }
        for (; k < events.size(); k++) {
          Event e = events.get(k);
          if (e.key.startsWith(prefix)) {
            found.add(
                e.data == null
                    ? Json.of("delete", e.key, "stamp", e.stamp)
                    : Json.of("write", e.key, "data", e.data, "stamp", e.stamp));
          }
        }
        if (!outage && !found.isEmpty() || System.nanoTime() >= until) {
          return reply(200, "epoch", epoch, "events", found);
        }
        try {
          wait(50);
        } catch (InterruptedException e) {
          return null;
        }
      }
    }
  }

  private static boolean isKey(Object key) {
    return key instanceof String s
        && !s.isEmpty()
        && s.indexOf(' ') < 0
        && s.getBytes(StandardCharsets.UTF_8).length <= 200;
  }

  private Http.Reply commit(String body) {
    if (body.getBytes(StandardCharsets.UTF_8).length > 65536) {
      return malformed("transaction too large");
    }
    Map<String, Object> txn = Json.object(body);
    List<Map<String, Object>> conditions = Json.list(txn, "if");
    List<Map<String, Object>> changes = Json.list(txn, "writes");
    if (changes.size() > operations || conditions.size() > 4 * operations) {
      return malformed("too many operations: " + changes.size() + ", " + conditions.size());
    }
    for (Map<String, Object> c : conditions) {
      if (!isKey(c.get("path"))) {
        return malformed("key " + c.get("path"));
      }
    }
    for (Map<String, Object> c : changes) {
      Object key = c.containsKey("write") ? c.get("write") : c.get("delete");
      if (!isKey(key)) {
        return malformed("key " + key);
      }
      if (c.containsKey("write")
          && Json.write(c.get("data")).getBytes(StandardCharsets.UTF_8).length > valueBytes) {
        return malformed("value too large: " + key);
      }
      long grant = Json.number(c, "grant", 0);
      if (grant != 0 && !grants.containsKey(grant)) {
        return reply(400, "error", "no such lease");
      }
    }
    if (!changes.isEmpty() && writes < Math.min(writeRps, changes.size())) {
      refused429++;
      return reply(429);
    }
    writes -= changes.size();
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> c : conditions) {
      Value v = keys.get(c.get("path"));
      if ((v == null ? 0 : v.stamp) != Json.number(c, "stamp", 0)) {
        failed.add(c.get("path"));
      }
    }
    if (!failed.isEmpty()) {
      return reply(409, "failed", failed, "epoch", epoch);
    }
    if (!changes.isEmpty()) {
      epoch++;
    }
    for (Map<String, Object> c : changes) {
      if (c.containsKey("write")) {
        change((String) c.get("write"), c.get("data"), Json.number(c, "grant", 0));
      } else {
        change((String) c.get("delete"), null, 0);
      }
    }
    return reply(200, "epoch", epoch);
  }
}
