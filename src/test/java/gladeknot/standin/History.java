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
 * What users, workers and the state service saw, in the order in which they saw it, and the check
 * of it: one final answer a job, attempts at a task that don't overlap, no start without a commit
 * before it, nothing of a cancelled job beyond its time. What controllers say of themselves plays
 * no part.
 */
public final class History {
  private static final String DONE = "done";
  private static final String WITHDRAWN = "withdrawn";
  private static final String SLICES = "g/sl/";

  private record Running(String host, long number) {}

  private record Final(String phase, long micros) {}

  private final long cancelMicros;
  private final Map<String, Set<Running>> running = new HashMap<>();
  private final Map<String, Integer> sizes = new HashMap<>();
  private final Map<String, Set<String>> completed = new HashMap<>();
  private final Map<String, Final> finals = new HashMap<>();
  private final Set<Recorded> committed = new HashSet<>();
  private final Set<String> violations = new LinkedHashSet<>();
  private int starts;

  /** A history in which a cancelled job's tasks may go on for so long. */
  public History(long cancelMicros) {
    this.cancelMicros = cancelMicros;
  }

  /** A user submits a job of so many tasks. */
  public synchronized void submitted(String job, int tasks) {
    sizes.put(job, tasks);
  }

  /** The state service has carried out a change of a key; without data the key is gone. */
  public synchronized void changed(String key, Map<String, Object> data) {
    if (!key.startsWith(SLICES) || data == null) {
      return;
    }
    data.forEach(
        (job, record) -> committed.addAll(RecordedAttempts.of(job, String.valueOf(record))));
  }

  /** A worker begins an attempt. */
  public synchronized void started(String host, String task, long number, long micros) {
    starts++;
    if (!committed.contains(new Recorded(task, number, host))) {
      violations.add("order without its commit: " + task + " attempt " + number + " on " + host);
    }
    Set<Running> others = running.computeIfAbsent(task, t -> new HashSet<>());
    for (Running other : others) {
      violations.add("runs twice: " + task + " on " + other.host() + " and " + host);
    }
    others.add(new Running(host, number));
    checkCancelled(task, micros);
  }

  /** An attempt has ended on a worker; it has completed its task or was ended. */
  public synchronized void ended(String host, String task, long number, boolean done, long micros) {
    running.getOrDefault(task, new HashSet<>()).remove(new Running(host, number));
    checkCancelled(task, micros);
    if (done) {
      completed.computeIfAbsent(jobOf(task), j -> new HashSet<>()).add(task);
    }
  }

  private void checkCancelled(String task, long micros) {
    Final end = finals.get(jobOf(task));
    if (end != null && end.phase().equals(WITHDRAWN) && micros > end.micros() + cancelMicros) {
      violations.add("of a cancelled job after its time: " + task);
    }
  }

  private static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  /** A user is told a job's phase. */
  public synchronized void told(String job, String phase, long micros) {
    Final before = finals.get(job);
    if (before != null && !before.phase().equals(phase)) {
      violations.add("two answers: " + job + " " + before.phase() + " then " + phase);
    }
    if (before == null && (phase.equals(DONE) || phase.equals(WITHDRAWN))) {
      finals.put(job, new Final(phase, micros));
    }
    int done = completed.getOrDefault(job, Set.of()).size();
    if (phase.equals(DONE) && done < sizes.getOrDefault(job, 0)) {
      violations.add("called done with " + done + " tasks done: " + job);
    }
  }

  /** How many attempts workers have begun. */
  public synchronized int starts() {
    return starts;
  }

  /** Jobs without a final answer. */
  public synchronized Set<String> open() {
    Set<String> open = new TreeSet<>(sizes.keySet());
    open.removeAll(finals.keySet());
    return open;
  }

  /** What must not have been, each once; also what is still there of cancelled jobs. */
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
