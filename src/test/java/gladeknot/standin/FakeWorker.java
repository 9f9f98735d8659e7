package gladeknot.standin;

import gladeknot.json.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;

/** A worker as the protocol describes it: incarnations, fencing tokens, leases, tasks. */
public final class FakeWorker {
  private static final String RUNNING = "running";
  private static final String ENDED = "ended";
  private static final double MICROS_PER_SECOND = 1e6;

  /** An attempt of a task on the machine. */
  public static final class Task {
    private final String name;
    private final long attempt;
    private final long endsMicros;
    private String phase = RUNNING;
    private String cause = "";

    Task(String name, long attempt, long endsMicros) {
      this.name = name;
      this.attempt = attempt;
      this.endsMicros = endsMicros;
    }

    /** The job's identifier and the task's index, with a slash between. */
    public String name() {
      return name;
    }

    /** The number of the attempt. */
    public long attempt() {
      return attempt;
    }

    private boolean hasEnded() {
      return phase.equals(ENDED);
    }

    private void end(String why) {
      phase = ENDED;
      cause = why;
    }
  }

  /** Is notified of each attempt that starts or ends here. */
  public interface TaskListener {
    /** An attempt begins. */
    void started(String host, String task, long number, long micros);

    /** An attempt has ended; it has completed its task, or was ended. */
    void ended(String host, String task, long number, boolean done, long micros);
  }

  private static final TaskListener NO_LISTENER =
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

  /** When the cloud takes the machine back; 0 without a notice. */
  private long recallAtMicros;

  private TaskListener taskListener = NO_LISTENER;

  /** The names of all tasks started so far. */
  private final List<String> startedTasks = new ArrayList<>();

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

  /** Sets the listener of attempts; none at first. */
  void setTaskListener(TaskListener listener) {
    taskListener = listener;
  }

  /** The machine's name. */
  public String host() {
    return machine.id();
  }

  /** The machine's type. */
  public String type() {
    return machine.type();
  }

  /** The machine's zone. */
  public String zone() {
    return machine.zone();
  }

  /** Tasks that are on the machine, the exited ones left out. */
  public List<Task> live() {
    if (tasks.isEmpty()) {
      return List.of();
    }
    List<Task> live = new ArrayList<>(tasks.size());
    for (Task task : tasks.values()) {
      if (!task.hasEnded()) {
        live.add(task);
      }
    }
    return live;
  }

  /** Sets the time: tasks progress or end, and the lease may expire. */
  public void advance(long now) {
    nowMicros = now;
    if (now - renewedMicros > leaseMicros) {
      long expiredMicros = renewedMicros + leaseMicros;
      live().forEach(task -> notifyEnded(task, false, expiredMicros));
      tasks.clear();
      tenure++;
      renewedMicros = now;
    }
    for (Task task : tasks.values()) {
      if (task.phase.equals(RUNNING) && now >= task.endsMicros) {
        task.end("done");
        finished.add(task.name);
        notifyEnded(task, true, task.endsMicros);
      }
    }
  }

  /** Ends all attempts, as the machine is gone. */
  void abandon(long now) {
    for (Task task : live()) {
      taskListener.ended(host(), task.name, task.attempt, false, now);
    }
  }

  private void notifyEnded(Task task, boolean done, long micros) {
    taskListener.ended(host(), task.name, task.attempt, done, micros);
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

  /** Returns its next heartbeat. */
  public Map<String, Object> report() {
    tick++;
    List<Object> reported = new ArrayList<>();
    for (Task task : tasks.values()) {
      reported.add(
          Json.of(
              "strand", task.name, "try", task.attempt, "phase", task.phase, "cause", task.cause));
    }
    Map<String, Object> report = Json.of("host", machine.id(), "endpoint", endpoint);
    report.put("hosttype", machine.type());
    report.put("glade", machine.zone());
    report.put("loaners", machine.spot());
    report.put("tenure", tenure);
    report.put("tick", tick);
    report.put("fence", token);
    report.put(
        "recallS", recallAtMicros == 0 ? null : (recallAtMicros - nowMicros) / MICROS_PER_SECOND);
    report.put("strands", reported);
    return report;
  }

  /** Handles the 200 response to the heartbeat that was sent at a time. */
  public void answered(Map<String, Object> answer, long sentMicros, long sentTenure) {
    long fence = Json.longValue(answer, "fence", -1);
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

  /** Returns the number of tasks started so far. */
  public int startCount() {
    return startedTasks.size();
  }

  /** The name of the task that was started at this position, from 0. */
  public String startedTask(int index) {
    return startedTasks.get(index);
  }

  /** The number of the worker's incarnation; it grows when its lease expires. */
  public long tenure() {
    return tenure;
  }

  /** Executes commands that are sent directly. */
  public ServiceResponse orders(Map<String, Object> body) {
    long fence = Json.longValue(body, "fence", -1);
    if (fence < token || Json.longValue(body, "tenure", -1) != tenure) {
      return new ServiceResponse(409, report());
    }
    token = fence;
    Json.objects(body, "orders").forEach(this::execute);
    return new ServiceResponse(200, report());
  }

  private void execute(Map<String, Object> command) {
    String name = Json.text(command, "strand");
    long attempt = Json.longValue(command, "try", 0);
    Task task = tasks.get(name);
    boolean named = task != null && task.attempt == attempt;
    switch (Json.text(command, "verb")) {
      case "run" -> {
        if (task == null) {
          start(name, attempt);
        }
      }
      case "kill" -> {
        if (named && !task.hasEnded()) {
          task.end("halted");
          notifyEnded(task, false, nowMicros);
        }
      }
      default -> {
        if (named && task.hasEnded()) {
          tasks.remove(name);
        }
      }
    }
  }

  private void start(String name, long attempt) {
    tasks.put(name, new Task(name, attempt, nowMicros + runMicros.applyAsLong(name)));
    startedTasks.add(name);
    taskListener.started(host(), name, attempt, nowMicros);
  }
}
