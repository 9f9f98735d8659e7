package gladeknot.standin;

import gladeknot.json.Json;
import gladeknot.outbox.Outbox;
import gladeknot.settings.Features;
import gladeknot.settings.Settings;
import gladeknot.tasks.RecordedAttempts;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/**
 * Controllers, state service, cloud, workers and users in one thread under simulated time, with
 * faults on command. Every step checks the invariants that the last page of the protocol lists. A
 * simulation repeats itself exactly for the same seed.
 */
public final class SimulatedCluster {
  /** Number of microseconds in a second; all simulated times are in microseconds. */
  public static final long MICROS_PER_SECOND = SimulatedClock.MICROS_PER_SECOND;

  private static final long TRILLIONTHS_PER_THOUSANDTH = 1_000_000_000;
  private static final long BOOT_MICROS = 3 * MICROS_PER_SECOND;

  private final FakeStateStore state = new FakeStateStore();
  private final FakeCloud cloud;
  private final ClusterScale scale;
  private final TeamLimits limits;
  private final SimulatedClock clock = new SimulatedClock();
  private final Violations violations = new Violations();
  private final FaultInjection faults = new FaultInjection(state);
  private final TaskDurations durations = new TaskDurations();
  private final ObservedJobs jobs = new ObservedJobs();
  private final SimulatedMachines machines;
  private final SimulatedNetwork network;
  private final SimulatedControllers controllers;
  private final HeartbeatSender heartbeats;
  private final MachineFaults machineFaults;
  private final SimulatedUsers users;
  private final ExecutionChecker executionChecker;
  private final RecoveryChecker recoveryChecker;
  private final ReturnedMachinesChecker returnedMachinesChecker;
  private final StoredQuotaChecker storedQuotaChecker;

  /** Creates a small cluster with {@code count} controllers, which have just started. */
  public SimulatedCluster(int count, long seed) {
    this(count, seed, ClusterScale.SMALL);
  }

  /** Creates a cluster with {@code count} controllers, which have just started. */
  public SimulatedCluster(int count, long seed, ClusterScale scale) {
    this(count, seed, scale, Features.NONE);
  }

  /**
   * Creates a cluster with {@code count} controllers, which have just started, with features turned
   * on.
   */
  public SimulatedCluster(int count, long seed, ClusterScale scale, Features features) {
    SplittableRandom random = new SplittableRandom(seed);
    this.scale = scale;
    limits = new TeamLimits(scale.teams());
    state.limitValueBytes(scale.valueBytes());
    cloud = new FakeCloud(scale.machines(), scale.machineGpus(), BOOT_MICROS);
    machines = new SimulatedMachines(clock, random, cloud, durations, jobs, count);
    network = new SimulatedNetwork(clock, random, faults, state, cloud, machines, violations);
    controllers =
        new SimulatedControllers(
            clock,
            random,
            faults,
            network,
            scale,
            features,
            FingerprintRecorder.fingerprint(state));
    heartbeats = new HeartbeatSender(clock, random, faults, controllers, violations);
    machineFaults = new MachineFaults(clock, random, machines, controllers, cloud);
    users =
        new SimulatedUsers(
            clock, random, controllers, jobs, new JobStatusChecker(clock, jobs, violations));
    executionChecker = new ExecutionChecker(clock, machines, jobs, faults, limits, violations);
    recoveryChecker = new RecoveryChecker(clock, machines, jobs, users, cloud, limits, violations);
    returnedMachinesChecker = new ReturnedMachinesChecker(state, violations);
    storedQuotaChecker = new StoredQuotaChecker(limits, count, violations::add);
    state.addChangeListener(storedQuotaChecker);
    state.addChangeListener(new StoredSliceChecker(count, violations::add));
    controllers.startAll(count);
  }

  /** Advances the simulated time in small steps, and checks the invariants after each step. */
  public void run(long micros) {
    long endMicros = clock.now() + micros;
    while (clock.now() < endMicros) {
      step();
    }
  }

  private void step() {
    clock.advance();
    if (!faults.hasStateOutage()) {
      state.advance(clock.now());
    }
    cloud.advance(clock.now());
    clock.runDueEvents();
    controllers.tick();
    controllers.checkAssertions(violations);
    machines.advance(heartbeats);
    executionChecker.check();
    if (clock.isMultipleOf(MICROS_PER_SECOND)) {
      users.pollIfDue();
      recoveryChecker.check();
    }
    if (clock.isMultipleOf(MICROS_PER_SECOND / 2)) {
      returnedMachinesChecker.check();
    }
  }

  /** Returns the simulated time in microseconds. */
  public long now() {
    return clock.now();
  }

  /** Returns the invariant violations so far; each begins with the name of the invariant. */
  public List<String> violations() {
    return violations.list();
  }

  /** Returns the faults of the network and the state service. */
  public FaultInjection faults() {
    return faults;
  }

  /** Returns the faults of single machines. */
  public MachineFaults machineFaults() {
    return machineFaults;
  }

  /** Returns the state service. */
  public FakeStateStore state() {
    return state;
  }

  /** Returns the cloud. */
  public FakeCloud cloud() {
    return cloud;
  }

  /** Starts controllers in the given order, with empty memory. */
  public void start(int... nodes) {
    for (int node : nodes) {
      controllers.start(node);
    }
  }

  /** Kills controllers; messages that they have sent may still arrive. */
  public void kill(int... nodes) {
    for (int node : nodes) {
      controllers.kill(node);
    }
  }

  /**
   * Changes the limits of the teams. Controllers use them from their next start on, checkers from
   * now on.
   */
  public void changeLimits(Settings.Team... changed) {
    controllers.useScale(scale.withLimits(changed));
    limits.change(List.of(changed));
  }

  /**
   * Changes the number of members in the settings with which controllers start from now on. Further
   * controllers can then be started.
   */
  public void useMembers(int count) {
    controllers.useMembers(count);
  }

  /** Suspends a controller, or resumes it. */
  public void pause(int node, boolean paused) {
    controllers.pause(node, paused);
  }

  /** Gives one controller its own features, from its next start on. */
  public void useFeatures(int node, Features own) {
    controllers.useFeatures(node, own);
  }

  /**
   * Makes a controller appear as one of the first version to the other controllers, or ends this.
   */
  public void impersonateFirstVersion(int node, boolean on) {
    network.impersonateFirstVersion(node, on);
  }

  /** Applies the lower limits of the state service from now on. */
  public void lowerLimits() {
    state.limitValueBytes(scale.nextValueBytes());
    state.limitWrites(scale.nextOperations());
  }

  /** Sets the duration of the tasks that end by themselves, in microseconds. */
  public void taskDuration(long micros) {
    durations.setDefault(micros);
  }

  /** Makes tasks fail instead of completing, by a condition on machine and task names. */
  public void failTasksIf(BiPredicate<String, String> condition) {
    machines.failures().failIf(condition);
  }

  /** Sends a request to a controller; a controller that is down does not answer. */
  public void request(
      int node, String method, String path, Object body, Consumer<Outbox.Answer> handler) {
    controllers.request(node, method, path, body, handler);
  }

  /** Sends a request, runs for two seconds, and returns the status and text of the answer. */
  public String answerOf(int node, String method, String path, Object body) {
    String[] answered = {"no answer"};
    request(
        node,
        method,
        path,
        body,
        answer ->
            answered[0] =
                answer.status() + " " + new String(answer.body(), StandardCharsets.UTF_8));
    run(2 * MICROS_PER_SECOND);
    return answered[0];
  }

  /** Submits a job, and retries until it is accepted. */
  public void submit(int node, Map<String, Object> job) {
    users.submit(node, job);
  }

  /** Submits a job that must be rejected with a status, or with 503. */
  public void submitInvalid(int node, Map<String, Object> job, int expectedStatus) {
    users.submitInvalid(node, job, expectedStatus);
  }

  /** Cancels a job, and retries until the answer shows that the job is final. */
  public void cancel(int node, String job) {
    users.cancel(node, job);
  }

  /** Polls a job at a controller and checks the answer. */
  public void poll(int node, String job) {
    users.poll(node, job);
  }

  /** Makes users poll each job every few seconds from now on, each time at a running controller. */
  public void startPolling() {
    users.startPolling();
  }

  /** Records that all faults have ended. From now on no job may be forgotten or left waiting. */
  public void expectRecovery() {
    recoveryChecker.faultsEnded();
  }

  /**
   * Makes the checkers assume that a job was submitted with a dependency; for tests of the
   * checkers.
   */
  public void assumeDependency(String job, String dependency) {
    jobs.dependencies().submitted(job, List.of(dependency));
  }

  /** Returns the identifiers of all jobs that were submitted. */
  public Set<String> jobs() {
    return Set.copyOf(jobs.ids());
  }

  /** Returns the phase of a job that was answered last; empty before the job is accepted. */
  public String phase(String job) {
    return jobs.get(job).phase();
  }

  /** Returns the number of a job's tasks that have completed. */
  public int doneTasks(String job) {
    return jobs.get(job).doneTasks();
  }

  /** Returns the number of attempts that machines have started since the beginning. */
  public int starts() {
    return executionChecker.starts();
  }

  /**
   * Returns when a controller's command to start or kill an attempt last reached a worker, in
   * microseconds; 0 if none did.
   */
  public long lastCommandMicros(int node) {
    return heartbeats.lastCommandMicros(node);
  }

  /** Returns the number of bytes of messages between controllers so far. */
  public long peerBytes() {
    return controllers.peerBytes();
  }

  /** Makes the state service refuse calls above the rates of the cluster's scale from now on. */
  public void enforceStateLimits() {
    network.limitStateCalls(new StateRateLimits(scale.stateRps(), scale.writeRps()));
  }

  /** Returns the number of calls to the state service that were refused because of its rates. */
  public long refusedStateCalls() {
    return network.refusedStateCalls();
  }

  /** Returns the number of calls to the state service so far. */
  public long stateCalls() {
    return network.stateCalls();
  }

  /** Returns how often a shard has got a new owner or a new term since the beginning. */
  public long terms() {
    Map<String, Object> counter = state.get("g/term");
    return counter == null ? 0 : Json.longValue(counter, "n", 0);
  }

  /** Returns the name of the controller that owns a shard, according to its record. */
  public String owner(int shard) {
    return Json.text(state.get("g/shard/" + shard), "owner");
  }

  /** Returns the status that a controller shows to operators. */
  public Map<String, Object> status(int node) {
    return controllers.status(node);
  }

  /** Returns the number of machines that are not dead. */
  public int machineCount() {
    return machines.alive().size();
  }

  /** Returns the machines that are rented. */
  public Set<String> rented() {
    Set<String> hosts = new HashSet<>();
    cloud.machines().forEach(machine -> hosts.add(machine.id()));
    return hosts;
  }

  /** Returns the CPUs that the attempts recorded in a shard use for a team, in thousandths. */
  public long recordedCpus(String team, int shard) {
    return storedQuotaChecker.recordedUsage(team, shard).cpus() / TRILLIONTHS_PER_THOUSANDTH;
  }

  /** Returns whether a committed record of a shard holds an attempt of a job. */
  public boolean hasRecordedAttempt(String job, int shard) {
    for (String key : state.keys("g/sl/" + shard + "/")) {
      String record = Json.text(state.get(key), job);
      if (record != null && !RecordedAttempts.of(job, record).isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of starts that machines have refused for lack of room. */
  public int refusedStarts() {
    return machines.refusals();
  }

  /** Returns the number of tasks that are on machines. */
  public int tasksOnMachines() {
    return machines.liveTaskCount();
  }

  /** Returns the machines that a job's tasks are on. */
  public Set<String> hosts(String job) {
    return machines.hosts(job);
  }

  /** Returns the number of a job's tasks in each zone; zones without any are left out. */
  public Map<String, Integer> zones(String job) {
    return machines.zones(job);
  }

  /** Returns the index of a task of a job that is not on the given machine. */
  public int taskNotOn(int nth, String job) {
    Set<String> tasksOnMachine = new HashSet<>();
    machines.aliveAt(nth).worker().live().forEach(task -> tasksOnMachine.add(task.name()));
    for (int i = 0; i < jobs.get(job).tasks(); i++) {
      if (!tasksOnMachine.contains(job + "/" + i)) {
        return i;
      }
    }
    throw new IllegalStateException("all tasks of " + job + " are on machine " + nth);
  }
}
