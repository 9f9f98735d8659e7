package gladeknot.standin;

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
 * Records what users, workers and the state service observe, in order, and checks the history: one
 * final phase per job, no overlapping attempts of a task, no start before its commit, no execution
 * of a cancelled job after the cancellation time. Controllers' own reports are not evidence.
 */
public final class History {
  private static final String DONE = "done";
  private static final String WITHDRAWN = "withdrawn";
  private static final String SLICES = "g/sl/";

  private record RunningAttempt(String host, long number) {}

  private record FinalPhase(String phase, long micros) {}

  private final long cancelMicros;
  private final Map<String, Set<RunningAttempt>> running = new HashMap<>();
  private final Map<String, Integer> sizes = new HashMap<>();
  private final Map<String, Set<String>> completed = new HashMap<>();
  private final Map<String, FinalPhase> finals = new HashMap<>();
  private final Set<Recorded> committed = new HashSet<>();
  private final Set<String> violations = new LinkedHashSet<>();
  private int starts;

  /** Creates an empty history; a cancelled job's tasks may run for {@code cancelMicros} more. */
  public History(long cancelMicros) {
    this.cancelMicros = cancelMicros;
  }

  /** Records that a user submits a job with the given number of tasks. */
  public synchronized void submitted(String job, int tasks) {
    sizes.put(job, tasks);
  }

  /** Records a committed change of a key of the state service; null data deletes the key. */
  public synchronized void keyCommitted(String key, Map<String, Object> data) {
    if (!key.startsWith(SLICES) || data == null) {
      return;
    }
    data.forEach(
        (job, record) -> committed.addAll(RecordedAttempts.of(job, String.valueOf(record))));
  }

  /** Records that a worker starts an attempt. */
  public synchronized void started(String host, String task, long number, long micros) {
    starts++;
    if (!committed.contains(new Recorded(task, number, host))) {
      violations.add("order without its commit: " + task + " attempt " + number + " on " + host);
    }
    Set<RunningAttempt> others = running.computeIfAbsent(task, key -> new HashSet<>());
    for (RunningAttempt other : others) {
      violations.add("runs twice: " + task + " on " + other.host() + " and " + host);
    }
    others.add(new RunningAttempt(host, number));
    checkCancelled(task, micros);
  }

  /** Records that an attempt ended on a worker; {@code done} if it completed its task. */
  public synchronized void ended(String host, String task, long number, boolean done, long micros) {
    running.getOrDefault(task, new HashSet<>()).remove(new RunningAttempt(host, number));
    checkCancelled(task, micros);
    if (done) {
      completed.computeIfAbsent(jobOf(task), key -> new HashSet<>()).add(task);
    }
  }

  private void checkCancelled(String task, long micros) {
    FinalPhase outcome = finals.get(jobOf(task));
    if (outcome != null
        && outcome.phase().equals(WITHDRAWN)
        && micros > outcome.micros() + cancelMicros) {
      violations.add("of a cancelled job after its time: " + task);
    }
  }

  private static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  /** Records the phase of a job that a controller answered to a user. */
  public synchronized void phaseObserved(String job, String phase, long micros) {
    FinalPhase earlier = finals.get(job);
    if (earlier != null && !earlier.phase().equals(phase)) {
      violations.add("two answers: " + job + " " + earlier.phase() + " then " + phase);
    }
    if (earlier == null && (phase.equals(DONE) || phase.equals(WITHDRAWN))) {
      finals.put(job, new FinalPhase(phase, micros));
    }
    int done = completed.getOrDefault(job, Set.of()).size();
    if (phase.equals(DONE) && done < sizes.getOrDefault(job, 0)) {
      violations.add("called done with " + done + " tasks done: " + job);
    }
  }

  /** Returns the number of attempts that workers have started. */
  public synchronized int starts() {
    return starts;
  }

  /** Returns the jobs for which no user has observed a final phase. */
  public synchronized Set<String> unfinishedJobs() {
    Set<String> unfinished = new TreeSet<>(sizes.keySet());
    unfinished.removeAll(finals.keySet());
    return unfinished;
  }

  /** Returns all violations, each once, including attempts of cancelled jobs that still run. */
  public synchronized List<String> violations(long nowMicros) {
    running.forEach(
        (task, all) -> {
          if (!all.isEmpty()) {
            checkCancelled(task, nowMicros);
          }
        });
    return new ArrayList<>(violations);
  }
}
