package rig;

import gladeknot.json.Json;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/** The cloud of the protocol page, and one worker for each machine that is up. */
public final class Machines {
  /** A machine type as the cloud lists it; {@code most} machines of it can be rented in a zone. */
  public record Type(
      String label, double cores, double accelerators, double memoryGb, double readyS, List<String> zones, int most) {}

  /** Seconds until a rented machine is up; the pages allow "up within a second or two". */
  public volatile double bootS = 1.5;

  private final Rig rig;
  private final List<Type> types;
  private final Map<String, Worker> machines = new TreeMap<>();
  private final Map<String, List<String>> rentals = new HashMap<>();
  private int next = 1;
  public final Http.Server cloud;
  /** Run time of a task by its name, in seconds. */
  public volatile ToDoubleFunction<String> runSeconds = task -> 2.0;

  /** Whether a task fails, as all tasks of a job that was submitted with a mistake do. */
  public volatile Predicate<String> broken = task -> false;

  public Machines(Rig rig, List<Type> types) throws IOException {
    this.rig = rig;
    this.types = types;
    this.cloud = new Http.Server(this::serve);
  }

  private Type type(String label) {
    return types.stream().filter(t -> t.label().equals(label)).findFirst().orElseThrow();
  }

  private synchronized Http.Answer serve(String method, String uri, byte[] body) throws IOException {
    if (uri.equals("/machine_types")) {
      List<Object> listed = new ArrayList<>();
      for (Type type : types) {
        Map<String, Object> item = Json.of("label", type.label(), "cores", type.cores(), "accelerators", type.accelerators());
        item.putAll(Json.of("memoryGb", type.memoryGb(), "cacheGb", 40.0, "fetchGbPerS", 0.8, "rate", 0.25));
        item.putAll(Json.of("marketPrice", 0.09, "readyS", type.readyS(), "glades", type.zones()));
        listed.add(item);
      }
      return answer(200, Json.of("hosttypes", listed));
    }
    if (uri.equals("/rentals")) {
      return rent(Json.object(body));
    }
    if (uri.equals("/rentals/release")) {
      for (String host : Json.texts(Json.object(body), "hosts")) {
        Worker worker = machines.remove(host);
        if (worker != null) {
          worker.powerOff();
        }
      }
      return answer(200, Json.of());
    }
    String from = StateService.query(uri).getOrDefault("from", "");
    List<Object> hosts = new ArrayList<>();
    for (Worker worker : machines.values()) {
      if (worker.host.compareTo(from) > 0 && hosts.size() < 500) {
        Map<String, Object> item = Json.of("id", worker.host, "endpoint", worker.endpoint());
        item.putAll(Json.of("hosttype", worker.type.label(), "glade", worker.zone, "loaners", worker.spot));
        item.putAll(Json.of("phase", worker.up ? "running" : "booting", "ageS", 1.0));
        hosts.add(item);
      }
    }
    return answer(200, Json.of("hosts", hosts, "more", false));
  }

  private Http.Answer rent(Map<String, Object> request) throws IOException {
    List<String> hosts = rentals.get(Json.text(request, "hire"));
    if (hosts == null) {
      hosts = new ArrayList<>();
      Type type = type(Json.text(request, "hosttype"));
      String zone = Json.text(request, "glade");
      long wanted = Math.min(50, Json.longValue(request, "number", 1));
      long here = machines.values().stream().filter(w -> w.type == type && w.zone.equals(zone)).count();
      for (; wanted > 0 && here < type.most(); wanted--, here++) {
        Worker worker = new Worker(String.format("vm-%06d", next++), type, zone, Json.flag(request, "loaners"));
        machines.put(worker.host, worker);
        hosts.add(worker.host);
        Http.start(worker.host, worker::run);
      }
      if (hosts.isEmpty()) {
        return answer(503, Json.of("error", "no capacity"));
      }
      rentals.put(Json.text(request, "hire"), hosts);
    }
    return answer(200, Json.of("hosts", hosts));
  }

  private static Http.Answer answer(int status, Object body) {
    return new Http.Answer(status, Json.bytes(body));
  }

  /** Takes a spot machine back with no notice, with all that is on it; it is not listed any more. */
  public synchronized void take(Worker worker) {
    machines.remove(worker.host);
    worker.powerOff();
  }

  public synchronized List<Worker> workers() {
    return new ArrayList<>(machines.values());
  }

  /** A task on a machine; its key is its name and attempt. */
  private static final class Task {
    final String name;
    final long attempt;
    final long ends;
    String phase = "running";
    String cause;

    Task(String name, long attempt, long ends) {
      this.name = name;
      this.attempt = attempt;
      this.ends = ends;
    }

    boolean ended() {
      return phase.equals("ended");
    }
  }

  /** One machine with its worker. */
  public final class Worker {
    public final String host;
    public final Type type;
    public final String zone;
    public final boolean spot;
    volatile boolean up;
    private volatile boolean off;
    private Http.Server server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Boolean> results = new ConcurrentHashMap<>();
    private long tenure = 1;
    private long tick;
    private long fence;
    private long leaseFrom;
    private boolean changed;
    private int node;

    Worker(String host, Type type, String zone, boolean spot) {
      this.host = host;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
    }

    synchronized String endpoint() throws IOException {
      if (server == null) {
        server = new Http.Server(this::direct);
      }
      return server.address();
    }

    /** Returns the names of the tasks that run here now. */
    public synchronized List<String> running() {
      return tasks.values().stream().filter(task -> !task.ended()).map(task -> task.name).toList();
    }

    /** Returns whether a report was answered within the lease, so that the machine is in use. */
    public synchronized boolean leased() {
      return System.nanoTime() - leaseFrom <= rig.site.leaseS() * 1e9;
    }

    public boolean isUp() {
      return up && !off;
    }

    void powerOff() {
      synchronized (this) {
        off = true;
        tasks.values().stream().filter(t -> !t.ended()).forEach(t -> rig.history.off(host, t.name, t.attempt));
        tasks.clear();
      }
      try {
        if (server != null) {
          server.close();
        }
      } catch (IOException e) {
        // Off is off.
      }
    }

    private synchronized Http.Answer direct(String method, String uri, byte[] body) throws IOException {
      if (off || !up) {
        return null;
      }
      advance();
      if (uri.equals("/orders")) {
        Map<String, Object> request = Json.object(body);
        long token = Json.longValue(request, "fence", -1);
        if (token < fence || Json.longValue(request, "tenure", -1) != tenure) {
          return answer(409, report());
        }
        fence = token;
        Json.objects(request, "orders").forEach(this::execute);
      }
      return answer(200, report());
    }

    private void advance() {
      long now = System.nanoTime();
      if (now - leaseFrom > rig.site.leaseS() * 1e9) {
        tasks.values().stream().filter(t -> !t.ended()).forEach(t -> rig.history.off(host, t.name, t.attempt));
        tasks.clear();
        tenure++;
        leaseFrom = now;
        changed = true;
      }
      for (Task task : tasks.values()) {
        if (!task.ended() && now >= task.ends) {
          if (broken.test(task.name)) {
            end(task, "error");
          } else {
            end(task, "done");
            results.put(task.name, true);
          }
        }
      }
    }

    private void end(Task task, String cause) {
      task.phase = "ended";
      task.cause = cause;
      changed = true;
      rig.history.off(host, task.name, task.attempt);
      if (cause.equals("done")) {
        rig.history.done(task.name);
      }
    }

    private void execute(Map<String, Object> order) {
      String name = Json.text(order, "strand");
      long attempt = Json.longValue(order, "try", 0);
      String key = name + "#" + attempt;
      Task task = tasks.get(key);
      switch (Json.text(order, "verb")) {
        case "run" -> {
          if (task == null) {
            boolean busy = tasks.values().stream().anyMatch(t -> t.name.equals(name) && !t.ended());
            Task added = new Task(name, attempt, System.nanoTime()
                + (long) ((results.containsKey(name) ? 0 : runSeconds.applyAsDouble(name)) * 1e9));
            tasks.put(key, added);
            if (busy) {
              added.phase = "ended";
              added.cause = "busy";
            } else {
              rig.history.on(host, name, attempt);
            }
            changed = true;
          }
        }
        case "kill" -> {
          if (task != null && !task.ended()) {
            end(task, "halted");
          }
        }
        default -> {
          if (task != null && task.ended()) {
            tasks.remove(key);
          }
        }
      }
    }

    private Map<String, Object> report() throws IOException {
      tick++;
      List<Object> listed = new ArrayList<>();
      for (Task task : tasks.values()) {
        Map<String, Object> item = Json.of("strand", task.name, "try", task.attempt, "phase", task.phase);
        if (task.cause != null) {
          item.put("cause", task.cause);
        }
        listed.add(item);
      }
      Map<String, Object> report = Json.of("host", host, "endpoint", endpoint(), "hosttype", type.label());
      report.putAll(Json.of("glade", zone, "loaners", spot, "tenure", tenure, "tick", tick, "fence", fence));
      report.putAll(Json.of("recallS", null, "strands", listed));
      return report;
    }

    void run() {
      Rig.pause((long) (bootS * 1000));
      synchronized (this) {
        if (off) {
          return;
        }
        up = true;
        leaseFrom = System.nanoTime();
        node = ThreadLocalRandom.current().nextInt(rig.members);
      }
      Http.Client client = new Http.Client();
      long last = 0;
      long due = 0;
      while (!off) {
        Rig.pause(20);
        long now = System.nanoTime();
        byte[] body;
        long session;
        synchronized (this) {
          advance();
          if (now < due && !(changed && now - last > 500_000_000L && due - now < rig.site.reportS() * 1.25e9)) {
            continue;
          }
          changed = false;
          session = tenure;
          try {
            body = Json.bytes(report());
          } catch (IOException e) {
            return;
          }
        }
        long sent = System.nanoTime();
        last = sent;
        Http.Answer answer = client.call(rig.addresses.get(node), "POST", "/hello", body, 4000);
        due = sent + (long) (rig.site.reportS() * 1e9 * ThreadLocalRandom.current().nextDouble(0.75, 1.25));
        due = onAnswer(answer, sent, session, due);
      }
      client.close();
    }

    private synchronized long onAnswer(Http.Answer answer, long sent, long session, long due) {
      advance();
      Map<String, Object> body = Rig.object(answer.body());
      if (answer.status() == 200 && System.nanoTime() - sent < 4_000_000_000L) {
        long token = Json.longValue(body, "fence", -1);
        if (token >= fence && session == tenure) {
          if (token > fence) {
            changed = true;
          }
          fence = token;
          leaseFrom = sent;
          Json.objects(body, "orders").forEach(this::execute);
        }
        return due;
      }
      int named = answer.status() == 421 ? rig.index(Json.text(body, "foreman")) : -1;
      if (named >= 0 && named != node) {
        node = named;
        return System.nanoTime() + ThreadLocalRandom.current().nextLong(0, 500_000_000L);
      }
      node = (node + 1) % rig.members;
      return System.nanoTime() + 1_000_000_000L;
    }
  }
}
