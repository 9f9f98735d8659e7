package rig;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What ran where, as the machines see it. */
public final class History {
  private final Rig rig;
  private final Map<String, String> where = new HashMap<>();
  private final Map<String, Integer> doneByJob = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  public int starts;
  public int ranTwice;

  History(Rig rig) {
    this.rig = rig;
  }

  synchronized void on(String host, String task, long attempt) {
    starts++;
    String other = where.put(task, host);
    if (other != null && !other.equals(host)) {
      ranTwice++;
      rig.record("ran_twice task=" + task + " try=" + attempt + " on=" + host + " while on=" + other);
    }
  }

  synchronized void off(String host, String task, long attempt) {
    where.remove(task, host);
  }

  synchronized void done(String task) {
    if (done.add(task)) {
      doneByJob.merge(task.substring(0, task.lastIndexOf('/')), 1, Integer::sum);
    }
  }

  public synchronized int doneTasks(String job) {
    return doneByJob.getOrDefault(job, 0);
  }

  public synchronized int running() {
    return where.size();
  }

  public synchronized long running(String job) {
    return where.keySet().stream().filter(task -> task.startsWith(job + "/")).count();
  }
}
