package gladeknot.jobs;

import gladeknot.state.StateStore;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The jobs that go on, as the followed copy has them; those over stay in the copy alone. */
public final class JobRegistry {
  /** Hears of jobs that begin or end; {@code now} is null if a key has gone. */
  public interface Listener {
    void jobChanged(Job before, Job now);
  }

  private final Map<String, Job> active = new LinkedHashMap<>();
  private final Set<String> over = new HashSet<>();
  private final Listener listener;
  private long changes;

  public JobRegistry(Listener listener) {
    this.listener = listener;
  }

  public Job active(String id) {
    return active.get(id);
  }

  /** Whether a job is done or withdrawn; one that is not known is not. */
  public boolean over(String id) {
    return over.contains(id);
  }

  public Collection<Job> active() {
    return active.values();
  }

  /** Grows with every change. */
  public long changes() {
    return changes;
  }

  /** Takes in a change of a job's key. */
  public void changed(String key, StateStore.Entry entry) {
    String id = key.substring(Job.KEYS.length());
    changes++;
    Job before = active.get(id);
    Job now = entry == null ? null : Job.read(id, entry);
    if (now != null && now.active()) {
      active.put(id, now);
    } else {
      active.remove(id);
      if (now != null) {
        over.add(id);
      }
    }
    listener.jobChanged(before, now);
  }
}
