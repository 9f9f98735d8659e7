package gladeknot.standin;

import gladeknot.settings.Settings;
import gladeknot.standin.ExecutionIntervals.TeamUse;
import gladeknot.tasks.RecordedAttempts;
import gladeknot.tasks.RecordedAttempts.Recorded;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Records what users, workers and the state service observe, and checks the history: one final
 * phase per job, no job forgotten, no overlapping attempts of a task, no team over its limit, no
 * start before its commit, no execution of a cancelled job after the cancellation time. What
 * controllers report about themselves is not used as evidence.
 */
public final class History implements FakeStateStore.ChangeListener {
  private static final String DONE = "done";
  private static final String CANCELLED = "withdrawn";
  private static final String SEGMENT_PREFIX = "g/sl/";
  private static final String DEFAULT_TEAM = "dev";
  private static final TeamUse UNKNOWN_JOB = new TeamUse(DEFAULT_TEAM, ResourceUse.of(1, 0));

  private record FinalPhase(String phase, long micros) {}

  private final long cancelMicros;
  private final List<Settings.Team> teams;
  private final StoredQuotaChecker storedQuota;
  private final StoredSliceChecker storedSlices;
  private final ExecutionIntervals intervals = new ExecutionIntervals();
  private final Map<String, Integer> taskCounts = new HashMap<>();
  private final Set<String> gangs = new HashSet<>();
  private final Map<String, TeamUse> usageByJob = new HashMap<>();
  private final Map<String, Set<String>> completedTasks = new HashMap<>();
  private final Map<String, FinalPhase> finalPhases = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Set<Recorded> committedAttempts = new HashSet<>();
  private final Set<String> violations = new LinkedHashSet<>();
  private int starts;

  /** Creates an empty history; a cancelled job's tasks may run for {@code cancelMicros} more. */
  public History(long cancelMicros) {
    this(cancelMicros, List.of(), 0);
  }

  /** Creates an empty history of a cluster with the given teams and number of shards. */
  public History(long cancelMicros, List<Settings.Team> teams, int shards) {
    this.cancelMicros = cancelMicros;
    this.teams = teams;
    this.storedQuota = new StoredQuotaChecker(new TeamLimits(teams), shards, violations::add);
    this.storedSlices = new StoredSliceChecker(shards, violations::add);
  }

  /** Records that a user submits a job with the given number of tasks of one CPU. */
  public synchronized void submitted(String job, int tasks) {
    submitted(job, tasks, DEFAULT_TEAM, ResourceUse.of(1, 0));
  }

  /** Records that a job is a gang, whose tasks complete together: if one is done, all are. */
  synchronized void submittedAsGang(String job) {
    gangs.add(job);
  }

  /** Records that a user submits a job of a team. */
  synchronized void submitted(String job, int tasks, String team, ResourceUse use) {
    taskCounts.put(job, tasks);
    usageByJob.put(job, new TeamUse(team, use));
  }

  /** Records a committed change of a key of the state service; null data deletes the key. */
  @Override
  public synchronized void changed(String key, Map<String, Object> data) {
    storedQuota.changed(key, data);
    storedSlices.changed(key, data);
    if (!key.startsWith(SEGMENT_PREFIX) || data == null) {
      return;
    }
    data.forEach(
        (job, record) ->
            committedAttempts.addAll(RecordedAttempts.of(job, String.valueOf(record))));
  }

  @Override
  public synchronized void transactionCommitted() {
    storedQuota.transactionCommitted();
    storedSlices.transactionCommitted();
  }

  /** Records that a worker starts an attempt. */
  public synchronized void started(String host, String task, long number, long micros) {
    starts++;
    if (!committedAttempts.contains(new Recorded(task, number, host))) {
      violations.add("order without its commit: " + task + " attempt " + number + " on " + host);
    }
    intervals.started(host, task, number, micros);
    checkCancelled(task, micros);
  }

  /** Records that an attempt ended on a worker; {@code done} if it completed its task. */
  public synchronized void ended(String host, String task, long number, boolean done, long micros) {
    intervals.ended(host, task, number, micros);
    checkCancelled(task, micros);
    if (done) {
      completedTasks.computeIfAbsent(jobOf(task), key -> new HashSet<>()).add(task);
    }
  }

  private void checkCancelled(String task, long micros) {
    FinalPhase outcome = finalPhases.get(jobOf(task));
    if (outcome != null
        && outcome.phase().equals(CANCELLED)
        && micros > outcome.micros() + cancelMicros) {
      violations.add("of a cancelled job after its time: " + task);
    }
  }

  /** Returns the resources that a task uses. */
  synchronized ResourceUse useOfTask(String task) {
    return useOf(task).use();
  }

  private TeamUse useOf(String task) {
    return usageByJob.getOrDefault(jobOf(task), UNKNOWN_JOB);
  }

  private static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  /** Records the phase of a job that a controller answered to a user. */
  public synchronized void phaseObserved(String job, String phase, long micros) {
    accepted.add(job);
    FinalPhase earlier = finalPhases.get(job);
    if (earlier != null && !earlier.phase().equals(phase)) {
      violations.add("two answers: " + job + " " + earlier.phase() + " then " + phase);
    }
    if (earlier == null && (phase.equals(DONE) || phase.equals(CANCELLED))) {
      finalPhases.put(job, new FinalPhase(phase, micros));
    }
    int done = completedTasks.getOrDefault(job, Set.of()).size();
    int neededTasks = gangs.contains(job) ? 1 : taskCounts.getOrDefault(job, 0);
    if (phase.equals(DONE) && done < neededTasks) {
      violations.add("called done with " + done + " tasks done: " + job);
    }
  }

  /** Records that a controller answered a user that there is no such job, or that it is invalid. */
  public synchronized void denied(String job, int status) {
    if (accepted.contains(job)) {
      violations.add("forgotten: " + job + " is accepted and was answered with " + status);
    }
  }

  /** Returns whether a user has received the answer that a job is accepted. */
  public synchronized boolean isAccepted(String job) {
    return accepted.contains(job);
  }

  /** Returns the number of attempts that workers have started. */
  public synchronized int starts() {
    return starts;
  }

  /** Returns the jobs for which no user has observed a final phase. */
  public synchronized Set<String> unfinishedJobs() {
    Set<String> unfinished = new TreeSet<>(taskCounts.keySet());
    unfinished.removeAll(finalPhases.keySet());
    return unfinished;
  }

  /** Returns the tasks that are on machines. */
  public synchronized List<String> runningTasks() {
    return intervals.running();
  }

  /** Returns all violations, each once, including attempts of cancelled jobs that still run. */
  public synchronized List<String> violations(long nowMicros) {
    intervals.running().forEach(task -> checkCancelled(task, nowMicros));
    violations.addAll(intervals.overlaps());
    violations.addAll(intervals.exceededLimits(teams, this::useOf));
    return new ArrayList<>(violations);
  }
}
