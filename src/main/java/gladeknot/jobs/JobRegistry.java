package gladeknot.jobs;

import gladeknot.state.Entry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All accepted jobs, as the followed copy of the state has them.
 *
 * <p>A job that waits for others is <em>held</em> and not among the active ones: nothing that
 * places tasks or rents machines sees it before all jobs that it needs are done. A job that needs a
 * withdrawn one, directly or through others, counts as withdrawn from the moment at which the copy
 * shows that, whether its own record says so yet or not.
 */
public final class JobRegistry {
  /** Hears of jobs that become active or are over. */
  public interface Listener {
    /** One of the two may be null: a job that was not active before, or is gone. */
    void onJobChange(Job before, Job now);
  }

  private final Map<String, Job> active = new LinkedHashMap<>();
  private final Map<String, Job> finished = new HashMap<>();
  private final DependencyGraph graph = new DependencyGraph(this::finished);
  private final Listener listener;
  private long changeCount;

  public JobRegistry(Listener listener) {
    this.listener = listener;
  }

  /** A job that is under way; null if it is unknown, held or over. */
  public Job active(String id) {
    return active.get(id);
  }

  /** The jobs that are under way. */
  public Collection<Job> active() {
    return active.values();
  }

  /** The jobs that wait for others. */
  public Collection<Job> held() {
    return graph.held();
  }

  /** A job that is neither done nor withdrawn, held or not; null if there is no such job. */
  public Job unfinished(String id) {
    Job job = active.get(id);
    return job != null ? job : graph.held(id);
  }

  /** Whether a job is done or withdrawn; one that is not known is not. */
  public boolean isFinished(String id) {
    return finished(id) != null;
  }

  /** A job that is done or withdrawn, be it through one that it needs; null if it isn't. */
  public Job finished(String id) {
    Job job = finished.get(id);
    return job != null ? job : graph.withdrawn(id);
  }

  /** Whether a job was accepted, as far as the copy tells. */
  public boolean isKnown(String id) {
    return unfinished(id) != null || isFinished(id);
  }

  /** Jobs that are withdrawn through others, and whose own records don't say so yet. */
  public List<Job> cancelledByDependency() {
    return graph.withdrawn();
  }

  /** The jobs named by a job's {@code waitsOn} that are not done yet; empty if it isn't held. */
  public Collection<String> openDependencies(String id) {
    return graph.openNeeds(id);
  }

  /** Grows with every change. */
  public long changeCount() {
    return changeCount;
  }

  /** Takes in a change of a job's key. */
  public void onChange(String key, Entry entry) {
    String id = key.substring(Job.KEY_PREFIX.length());
    changeCount++;
    Job before = active.remove(id);
    Job now = entry == null ? null : Job.decode(id, entry);
    graph.remove(id);
    if (now == null) {
      finished.remove(id);
      listener.onJobChange(before, null);
    } else if (now.active()) {
      List<Job> released = new ArrayList<>();
      graph.add(now, released);
      released.forEach(job -> activate(before, job));
    } else {
      finished.put(id, now);
      listener.onJobChange(before, now);
      List<Job> released = new ArrayList<>();
      graph.ended(id, released);
      released.forEach(job -> activate(null, job));
    }
  }

  private void activate(Job before, Job job) {
    active.put(job.id(), job);
    listener.onJobChange(before, job);
  }
}
