package gladeknot.standin;

import gladeknot.json.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/** A worker that follows the protocol: incarnations, fencing tokens, leases, tasks. */
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

    /** Returns the job's identifier and the task's index, separated by a slash. */
    public String name() {
      return name;
    }

    /** Returns the number of the attempt. */
    public long attempt() {
      return attempt;
    }

    private boolean hasEnded() {
      return phase.equals(ENDED);
    }

    private void end(String endCause) {
      phase = ENDED;
      cause = endCause;
    }
  }

  /** Listener that is notified of each attempt that starts or ends on the worker. */
  public interface TaskListener {
    /** Called when an attempt starts. */
    void started(String host, String task, long number, long micros);

    /**
     * Called when an attempt has ended; {@code done} if it completed its task, false if it was
     * ended early.
     */
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
  private final ResourceUse capacity;
  private final Function<String, ResourceUse> needs;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final List<String> finished = new ArrayList<>();
  private long incarnation = 1;
  private long heartbeatNumber;
  private long highestToken;
  private long leaseRenewedMicros;
  private long nowMicros;
  private int refusals;

  /** Time at which the cloud reclaims the machine; 0 if no reclaim was announced. */
  private long reclaimAtMicros;

  private TaskListener taskListener = NO_LISTENER;
  private TaskFailures failures = new TaskFailures();

  /** Names of all tasks started so far, in the order of their starts. */
  private final List<String> startedTasks = new ArrayList<>();

  /** Creates a worker in its first incarnation that never refuses a task for lack of room. */
  public FakeWorker(
      FakeCloud.Machine machine,
      String endpoint,
      long leaseMicros,
      ToLongFunction<String> runMicros,
      long nowMicros) {
    this(
        machine,
        endpoint,
        leaseMicros,
        runMicros,
        ResourceUse.NONE,
        task -> ResourceUse.NONE,
        nowMicros);
  }

  /**
   * Creates a worker in its first incarnation, on a machine that is up.
   *
   * @param runMicros returns how long a task runs
   * @param capacity what the machine has
   * @param needs returns what a task needs, by its name
   */
  FakeWorker(
      FakeCloud.Machine machine,
      String endpoint,
      long leaseMicros,
      ToLongFunction<String> runMicros,
      ResourceUse capacity,
      Function<String, ResourceUse> needs,
      long nowMicros) {
    this.machine = machine;
    this.endpoint = endpoint;
    this.leaseMicros = leaseMicros;
    this.runMicros = runMicros;
    this.capacity = capacity;
    this.needs = needs;
    this.leaseRenewedMicros = nowMicros;
    this.nowMicros = nowMicros;
  }

  /** Sets the listener of attempts; initially there is none. */
  void setTaskListener(TaskListener listener) {
    taskListener = listener;
  }

  /** Sets which tasks fail; initially none do. */
  void useFailures(TaskFailures taskFailures) {
    failures = taskFailures;
  }

  /** Returns the machine's name. */
  public String host() {
    return machine.id();
  }

  /** Returns the machine's type. */
  public String type() {
    return machine.type();
  }

  /** Returns the machine's zone. */
  public String zone() {
    return machine.zone();
  }

  /** Returns the tasks that are on the machine, without those that have ended. */
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
    if (now - leaseRenewedMicros > leaseMicros) {
      long leaseExpiredMicros = leaseRenewedMicros + leaseMicros;
      live().forEach(task -> notifyEnded(task, false, leaseExpiredMicros));
      tasks.clear();
      incarnation++;
      leaseRenewedMicros = now;
    }
    for (Task task : tasks.values()) {
      if (!task.phase.equals(RUNNING) || now < task.endsMicros) {
        continue;
      }
      if (failures.fails(host(), task.name)) {
        task.end("error");
        notifyEnded(task, false, task.endsMicros);
      } else {
        task.end("done");
        finished.add(task.name);
        notifyEnded(task, true, task.endsMicros);
      }
    }
  }

  /** Ends all attempts because the machine is gone. */
  void endAllAttempts(long now) {
    for (Task task : live()) {
      taskListener.ended(host(), task.name, task.attempt, false, now);
    }
  }

  private void notifyEnded(Task task, boolean done, long micros) {
    taskListener.ended(host(), task.name, task.attempt, done, micros);
  }

  /** Returns the tasks that have completed on the worker since the last call. */
  public List<String> finished() {
    if (finished.isEmpty()) {
      return List.of();
    }
    List<String> taken = List.copyOf(finished);
    finished.clear();
    return taken;
  }

  /** Returns the worker's next heartbeat. */
  public Map<String, Object> heartbeat() {
    heartbeatNumber++;
    List<Object> reported = new ArrayList<>();
    for (Task task : tasks.values()) {
      reported.add(
          Json.of(
              "strand", task.name, "try", task.attempt, "phase", task.phase, "cause", task.cause));
    }
    Map<String, Object> heartbeat = Json.of("host", machine.id(), "endpoint", endpoint);
    heartbeat.put("hosttype", machine.type());
    heartbeat.put("glade", machine.zone());
    heartbeat.put("loaners", machine.spot());
    heartbeat.put("tenure", incarnation);
    heartbeat.put("tick", heartbeatNumber);
    heartbeat.put("fence", highestToken);
    heartbeat.put(
        "recallS", reclaimAtMicros == 0 ? null : (reclaimAtMicros - nowMicros) / MICROS_PER_SECOND);
    heartbeat.put("strands", reported);
    return heartbeat;
  }

  /**
   * Handles the 200 response to the heartbeat that was sent at {@code sentMicros} by the
   * incarnation {@code sentIncarnation}.
   */
  public void handleResponse(Map<String, Object> answer, long sentMicros, long sentIncarnation) {
    long receivedToken = Json.longValue(answer, "fence", -1);
    if (receivedToken < highestToken || sentIncarnation != incarnation) {
      return;
    }
    highestToken = receivedToken;
    leaseRenewedMicros = Math.max(leaseRenewedMicros, sentMicros);
    Json.objects(answer, "orders").forEach(this::execute);
  }

  /** Announces that the cloud reclaims the machine at the given time. */
  public void announceReclaim(long atMicros) {
    reclaimAtMicros = atMicros;
  }

  /**
   * Returns whether the worker's lease has expired, even if the worker is frozen and has not
   * noticed.
   */
  public boolean isLeaseExpired(long now) {
    return now - leaseRenewedMicros > leaseMicros;
  }

  private boolean hasRoomFor(String name) {
    ResourceUse use = needs.apply(name);
    for (Task task : live()) {
      use = use.plus(needs.apply(task.name));
    }
    return use.fitsIn(capacity);
  }

  /** Returns the number of starts that were refused for lack of room. */
  int refusals() {
    return refusals;
  }

  /** Returns the number of tasks started so far. */
  public int startCount() {
    return startedTasks.size();
  }

  /** Returns the name of the task that was started at this position, from 0. */
  public String startedTask(int index) {
    return startedTasks.get(index);
  }

  /** Returns the number of the worker's incarnation; it grows when the worker's lease expires. */
  public long incarnation() {
    return incarnation;
  }

  /** Executes commands that are sent directly. */
  public ServiceResponse executeCommands(Map<String, Object> body) {
    long receivedToken = Json.longValue(body, "fence", -1);
    if (receivedToken < highestToken || Json.longValue(body, "tenure", -1) != incarnation) {
      return new ServiceResponse(409, heartbeat());
    }
    highestToken = receivedToken;
    Json.objects(body, "orders").forEach(this::execute);
    return new ServiceResponse(200, heartbeat());
  }

  private void execute(Map<String, Object> command) {
    String name = Json.text(command, "strand");
    long attempt = Json.longValue(command, "try", 0);
    Task task = tasks.get(name);
    boolean matches = task != null && task.attempt == attempt;
    switch (Json.text(command, "verb")) {
      case "run" -> {
        if (task == null) {
          start(name, attempt);
        }
      }
      case "kill" -> {
        if (matches && !task.hasEnded()) {
          task.end("halted");
          notifyEnded(task, false, nowMicros);
        }
      }
      default -> {
        if (matches && task.hasEnded()) {
          tasks.remove(name);
        }
      }
    }
  }

  /** Starts a task that the worker does not have, even if there is no room for it. */
  void startWithoutRoom(String name, long attempt) {
    if (!tasks.containsKey(name)) {
      add(name, attempt);
    }
  }

  private void start(String name, long attempt) {
    if (!hasRoomFor(name)) {
      Task refused = new Task(name, attempt, nowMicros);
      refused.end("no_room");
      tasks.put(name, refused);
      refusals++;
      return;
    }
    add(name, attempt);
  }

  private void add(String name, long attempt) {
    tasks.put(name, new Task(name, attempt, nowMicros + runMicros.applyAsLong(name)));
    startedTasks.add(name);
    taskListener.started(host(), name, attempt, nowMicros);
  }
}
