package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A worker of PROTOCOL-gladeknot.md with a socket of its own. Knows arrays, services and gangs of one task. */
final class Worker {
  private static final int MOST_BYTES = 65536;

  private static final class Task {
    final String strand;
    final long number;
    String phase = "fetching";
    String cause;
    boolean stored;
    long readyAt;
    long endAt;

    Task(String strand, long number) {
      this.strand = strand;
      this.number = number;
    }

    boolean ended() {
      return phase.equals("ended");
    }

    boolean present() {
      return !ended() && !phase.equals("fetching");
    }

    String job() {
      return strand.substring(0, strand.lastIndexOf('/'));
    }
  }

  private final Site site;
  final String host;
  final Cloud.Type type;
  final String zone;
  final boolean spot;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private int port;
  private long tenure = 1;
  private long tick;
  private long fence;
  private long leaseFrom;
  private volatile boolean up;
  private volatile boolean off;
  private volatile boolean changed;
  private int node;
  /** Set by a case: no packets to or from the machine. */
  volatile boolean cut;
  /** Set by a case: the machine hangs; it executes nothing, and what arrives is executed when it goes on. */
  volatile long hangsUntil;
  private long hungSince;
  long reportsTooLarge;
  long longestLine;

  Worker(Site site, String host, Cloud.Type type, String zone, boolean spot, long bootMs) {
    this.site = site;
    this.host = host;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    try {
      port = Http.listen(this::serve);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    Http.daemon(
        () -> {
          Site.sleep(bootMs);
          leaseFrom = Site.now();
          up = !off;
          Http.daemon(this::clock);
          report();
        });
  }

  String endpoint() {
    return "127.0.0.1:" + port;
  }

  boolean isUp() {
    return up;
  }

  synchronized void off() {
    off = true;
    up = false;
    tasks.values().forEach(t -> gone(t, "machine gone"));
    tasks.clear();
  }

  private void gone(Task t, String why) {
    if (t.present()) {
      site.onLeft(host, t.strand, t.number, why);
    }
  }

  private void clock() {
    while (!off) {
      advance();
      Site.sleep(50);
    }
  }

  private synchronized void advance() {
    long now = Site.now();
    if (off) {
      return;
    }
    if (now < hangsUntil && now - leaseFrom <= site.leaseMs) {
      hungSince = hungSince == 0 ? now : hungSince;
      return;
    }
    if (hungSince != 0) {
      long hung = now - hungSince;
      tasks.values().forEach(t -> t.endAt += t.endAt < Long.MAX_VALUE ? hung : 0);
      hungSince = 0;
    }
    if (now - leaseFrom > site.leaseMs) {
      if (!tasks.isEmpty()) {
        site.note("lease lapsed " + host + " tenure " + tenure + " with " + tasks.size() + " tasks");
      }
      tasks.values().forEach(t -> gone(t, "lease lapsed"));
      site.leasesLapsed.merge(host, (long) tasks.size(), Long::sum);
      tasks.clear();
      tenure++;
      leaseFrom = now;
      changed = true;
    }
    for (Task t : tasks.values()) {
      if (t.phase.equals("fetching") && now >= t.readyAt) {
        images.add(site.job(t.job()).get("bundle").toString());
        t.phase = "running";
        t.endAt =
            site.runMs(t.strand) < 0
                ? Long.MAX_VALUE
                : site.results.contains(t.strand) ? now : now + site.runMs(t.strand);
        changed = true;
        site.onStarted(this, t.strand, t.number);
      }
      if (!t.ended() && !t.phase.equals("fetching") && now >= t.endAt) {
        end(t, t.phase.equals("saving") ? "halted" : "done");
      }
    }
  }

  private void end(Task t, String cause) {
    gone(t, cause);
    t.phase = "ended";
    t.cause = cause;
    if (cause.equals("done")) {
      // The result is kept: a task that is started again exits with done as soon as it has its image.
      site.results.add(t.strand);
    }
    changed = true;
  }

  private synchronized String message() {
    tick++;
    List<Object> strands = new ArrayList<>();
    for (Task t : tasks.values()) {
      Map<String, Object> entry = Json.of("strand", t.strand, "try", t.number, "phase", t.phase);
      if (t.cause != null) {
        entry.put("cause", t.cause);
      }
      if (t.stored) {
        entry.put("stored", true);
      }
      strands.add(entry);
    }
    return Json.write(
        Json.of("host", host, "endpoint", endpoint(), "hosttype", type.label(), "glade", zone,
            "loaners", spot, "tenure", tenure, "tick", site.firstTick.add(java.math.BigInteger.valueOf(tick)), "fence", fence, "recallS", null,
            "strands", strands));
  }

  private void report() {
    node = Math.floorMod(host.hashCode(), site.ports.length);
    long last = 0;
    while (!off) {
      double interval = site.reportMs * (0.75 + 0.5 * Math.random());
      while (!off && Site.now() - last < interval && !(changed && Site.now() - last >= 500)) {
        Site.sleep(20);
      }
      if (off) {
        return;
      }
      if (cut || Site.now() < hangsUntil) {
        Site.sleep(100);
        continue;
      }
      last = Site.now();
      changed = false;
      long sent = last;
      long session;
      String body;
      synchronized (this) {
        session = tenure;
        body = message();
      }
      Http.Reply reply;
      if (body.length() > MOST_BYTES) {
        // A request body must not exceed 64 KiB: this report can't be sent.
        reportsTooLarge++;
        site.onReportTooLarge(this, body.length(), tasks.size());
        reply = new Http.Reply(413, "");
      } else {
        reply = Http.call(site.ports[node], "POST", "/hello", body, 4000);
      }
      if (cut || off) {
        continue;
      }
      onReply(reply, sent, session);
    }
  }

  private void onReply(Http.Reply reply, long sent, long session) {
    if (reply.status() == 200) {
      longestLine = Math.max(longestLine, reply.body().getBytes(StandardCharsets.UTF_8).length);
      Map<String, Object> answer = Json.object(reply.body());
      synchronized (this) {
        if (session != tenure || !answer.containsKey("fence")
            || Json.number(answer, "fence", 0) < fence || Site.now() - sent > 4000) {
          return;
        }
        fence = Json.number(answer, "fence", 0);
        leaseFrom = Math.max(leaseFrom, sent);
        execute(Json.list(answer, "orders"));
      }
      return;
    }
    String foreman =
        reply.status() == 421 ? (String) Json.object(reply.body()).get("foreman") : null;
    int other = foreman == null ? -1 : site.names.indexOf(foreman);
    if (other >= 0 && other != node) {
      node = other;
      changed = true;
      Site.sleep(300);
    } else {
      node = (node + 1) % site.ports.length;
      Site.sleep(1000);
    }
  }

  private Http.Reply serve(String method, String uri, String body) {
    if (!up || cut) {
      return null;
    }
    while (Site.now() < hangsUntil) {
      Site.sleep(20);
    }
    if (body.length() > MOST_BYTES) {
      return new Http.Reply(413, "{}");
    }
    synchronized (this) {
      if (!uri.equals("/orders")) {
        return new Http.Reply(200, message());
      }
      Map<String, Object> request = Json.object(body);
      if (!request.containsKey("fence") || !request.containsKey("tenure")) {
        return new Http.Reply(400, "{}");
      }
      long token = Json.number(request, "fence", 0);
      if (token < fence || Json.number(request, "tenure", 0) != tenure) {
        return new Http.Reply(409, message());
      }
      fence = token;
      execute(Json.list(request, "orders"));
      return new Http.Reply(200, message());
    }
  }

  private void execute(List<Map<String, Object>> orders) {
    long now = Site.now();
    for (Map<String, Object> order : orders) {
      String strand = (String) order.get("strand");
      long number = Json.number(order, "try", 0);
      String key = strand + "#" + number;
      Task t = tasks.get(key);
      switch ((String) order.get("verb")) {
        case "run" -> {
          if (t == null) {
            t = new Task(strand, number);
            String refusal = refusal(t);
            tasks.put(key, t);
            if (refusal != null) {
              end(t, refusal);
            } else {
              Map<String, Object> job = site.job(t.job());
              boolean cached = images.contains(job.get("bundle").toString());
              t.readyAt = now + (cached ? 0 : (long) (Json.decimal(job, "sizeGb") / 5.0 * 1000));
            }
            changed = true;
          }
        }
        case "kill" -> {
          if (t != null && !t.ended()) {
            double flush = Json.decimal(site.job(t.job()), "flushS");
            double snapshot = Json.decimal(site.job(t.job()), "snapshotS");
            if (t.phase.equals("running") && snapshot > 0
                && Json.decimal(order, "windDownS") >= flush) {
              t.phase = "saving";
              t.stored = true;
              t.endAt = now + (long) (flush * 1000);
            } else if (!t.phase.equals("saving") || Json.decimal(order, "windDownS") == 0) {
              end(t, "halted");
            }
          }
        }
        default -> {
          if (t != null && t.ended()) {
            tasks.remove(key);
          }
        }
      }
    }
  }

  private String refusal(Task task) {
    Map<String, Object> job = site.job(task.job());
    if (job == null) {
      return "no_such";
    }
    double cores = Json.decimal(job, "cores");
    double gpus = Json.decimal(job, "accelerators");
    double memory = Json.decimal(job, "memoryGb");
    for (Iterator<Task> it = tasks.values().iterator(); it.hasNext(); ) {
      Task t = it.next();
      if (t.ended()) {
        continue;
      }
      if (t.strand.equals(task.strand)) {
        return "busy";
      }
      Map<String, Object> other = site.job(t.job());
      cores += Json.decimal(other, "cores");
      gpus += Json.decimal(other, "accelerators");
      memory += Json.decimal(other, "memoryGb");
    }
    boolean fits = cores <= type.cores() + 1e-6 && gpus <= type.gpus() + 1e-6 && memory <= type.memory() + 1e-6;
    return fits ? null : "no_room";
  }
}
