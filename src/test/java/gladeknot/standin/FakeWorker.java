package gladeknot.standin;

import gladeknot.json.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/** A worker as the protocol has it: sessions, tokens, leases, tasks. */
public final class FakeWorker {
  /** A task on the machine. */
  public static final class Task {
    public final String name;
    public final long number;
    public String phase = "running";
    public String cause = "";
    long endsMicros;

    Task(String name, long number) {
      this.name = name;
      this.number = number;
    }
  }

  /** Hears of each attempt that begins or ends here. */
  public interface TaskListener {
    /** An attempt begins. */
    void started(String host, String task, long number, long micros);

    /** An attempt has ended; it has completed its task, or was ended. */
    void ended(String host, String task, long number, boolean done, long micros);
  }

  /** Who hears of attempts; nobody at first. */
  public TaskListener taskListener =
      new TaskListener() {
        @Override
        public void started(String host, String task, long number, long micros) {}

        @Override
        public void ended(String host, String task, long number, boolean done, long micros) {}
      };

  private final FakeCloud.Machine machine;
  private final String endpoint;
  private final long leaseMicros;
  private final ToLongFunction<String> runMicros;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final List<String> finished = new ArrayList<>();
  private long tenure = 1;
  private long tick;
  private long token;
  private long renewedMicros;
  private long nowMicros;
  private long recallAtMicros;

  /** Starts so far, as "task attempt". */
  public final List<String> starts = new ArrayList<>();

  /** A worker on a machine that is up, in its first session. */
  public FakeWorker(
      FakeCloud.Machine machine,
      String endpoint,
      long leaseMicros,
      ToLongFunction<String> runMicros,
      long nowMicros) {
    this.machine = machine;
    this.endpoint = endpoint;
    this.leaseMicros = leaseMicros;
    this.runMicros = runMicros;
    this.renewedMicros = nowMicros;
    this.nowMicros = nowMicros;
  }

  public String host() {
    return machine.id;
  }

  public String zone() {
    return machine.zone;
  }

  /** Tasks that are on the machine, the exited ones left out. */
  public List<Task> live() {
    if (tasks.isEmpty()) {
      return List.of();
    }
    List<Task> live = new ArrayList<>(tasks.size());
    for (Task t : tasks.values()) {
      if (!t.phase.equals("ended")) {
        live.add(t);
      }
    }
    return live;
  }

  /** Sets the time: tasks go on or end, and the lease may run out. */
  public void advance(long now) {
    nowMicros = now;
    if (now - renewedMicros > leaseMicros) {
      live().forEach(t -> ended(t, false));
      tasks.clear();
      tenure++;
      renewedMicros = now;
    }
    for (Task t : tasks.values()) {
      if (t.phase.equals("running") && now >= t.endsMicros) {
        t.phase = "ended";
        t.cause = "done";
        finished.add(t.name);
        ended(t, true);
      }
    }
  }

  private void ended(Task t, boolean done) {
    taskListener.ended(machine.id, t.name, t.number, done, nowMicros);
  }

  /** Tasks that have completed here since it was asked last. */
  public List<String> finished() {
    if (finished.isEmpty()) {
      return List.of();
    }
    List<String> taken = List.copyOf(finished);
    finished.clear();
    return taken;
  }

  /** Its next report. */
  public Map<String, Object> report() {
    tick++;
    List<Object> list = new ArrayList<>();
    for (Task t : tasks.values()) {
      list.add(Json.of("strand", t.name, "try", t.number, "phase", t.phase, "cause", t.cause));
    }
    return Json.of(
        "host",
        machine.id,
        "endpoint",
        endpoint,
        "hosttype",
        machine.type,
        "glade",
        machine.zone,
        "loaners",
        machine.spot,
        "tenure",
        tenure,
        "tick",
        tick,
        "fence",
        token,
        "recallS",
        recallAtMicros == 0 ? null : (recallAtMicros - nowMicros) / 1e6,
        "strands",
        list);
  }

  /** Takes the 200 answer to the report that was sent at a time. */
  public void answered(Map<String, Object> answer, long sentMicros, long sentTenure) {
    long fence = Json.num(answer, "fence", -1);
    if (fence < token || sentTenure != tenure) {
      return;
    }
    token = fence;
    renewedMicros = sentMicros;
    Json.objects(answer, "orders").forEach(this::execute);
  }

  /** The cloud gives notice that it takes the machine back. */
  public void recall(long atMicros) {
    recallAtMicros = atMicros;
  }

  /** Whether its lease is over, also while it hangs and has not seen it yet. */
  public boolean lapsed(long now) {
    return now - renewedMicros > leaseMicros;
  }

  /** Starts so far of this life. */
  public int startCount() {
    return starts.size();
  }

  public long tenure() {
    return tenure;
  }

  /** Takes commands that come directly. */
  public FakeStateStore.Answer orders(Map<String, Object> body) {
    long fence = Json.num(body, "fence", -1);
    if (fence < token || Json.num(body, "tenure", -1) != tenure) {
      return new FakeStateStore.Answer(409, report());
    }
    token = fence;
    Json.objects(body, "orders").forEach(this::execute);
    return new FakeStateStore.Answer(200, report());
  }

  private void execute(Map<String, Object> order) {
    String name = Json.text(order, "strand");
    long number = Json.num(order, "try", 0);
    Task t = tasks.get(name);
    switch (Json.text(order, "verb")) {
      case "run" -> {
        if (t == null) {
          Task started = new Task(name, number);
          started.endsMicros = nowMicros + runMicros.applyAsLong(name);
          tasks.put(name, started);
          starts.add(name + " " + number);
          taskListener.started(machine.id, name, number, nowMicros);
        }
      }
      case "kill" -> {
        if (t != null && t.number == number && !t.phase.equals("ended")) {
          t.phase = "ended";
          t.cause = "halted";
          ended(t, false);
        }
      }
      default -> {
        if (t != null && t.number == number && t.phase.equals("ended")) {
          tasks.remove(name);
        }
      }
    }
  }
}
