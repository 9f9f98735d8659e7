package gladeknot.jobs;

import gladeknot.state.Entry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All accepted jobs, as the local copy of the state store shows them.
 *
 * <p>A job with dependencies that are not done is <em>held</em> and not among the active ones:
 * nothing that places tasks or scales out sees it before all of its dependencies are done. A job
 * that depends on a cancelled one, directly or through others, counts as cancelled from the moment
 * at which the copy shows that, whether its own record says so yet or not.
 */
public final class JobRegistry {
  /** Hears of jobs that become active or are over. */
  public interface Listener {
    /** One of the two may be null: a job that was not active before, or whose record is gone. */
    void onJobChange(Job before, Job now);
  }

  private final Map<String, Job> active = new LinkedHashMap<>();
  private final Map<String, Job> finished = new HashMap<>();
  private final DependencyGraph dependencies = new DependencyGraph(this::finished);
  private final Listener listener;
  private long changeCount;

  /** An empty registry whose changes go to the listener. */
  public JobRegistry(Listener listener) {
    this.listener = listener;
  }

  /** A job that is under way; null if it is unknown, held or over. */
  public Job active(String id) {
    return active.get(id);
  }

  /** The jobs that are under way, in the order in which they became active. */
  public Collection<Job> active() {
    return active.values();
  }

  /** The jobs that are held by their dependencies. */
  public Collection<Job> held() {
    return dependencies.held();
  }

  /** A job that is neither done nor cancelled, held or not; null if there is no such job. */
  public Job unfinished(String id) {
    Job job = active.get(id);
    return job != null ? job : dependencies.held(id);
  }

  /** Whether a job is done or cancelled; one that is not known is not. */
  public boolean isFinished(String id) {
    return finished(id) != null;
  }

  /** A job that is done or cancelled, be it with one of its dependencies; null if it isn't. */
  public Job finished(String id) {
    Job job = finished.get(id);
    return job != null ? job : dependencies.cancelled(id);
  }

  /** Whether a job was accepted, as far as the copy shows. */
  public boolean isKnown(String id) {
    return unfinished(id) != null || isFinished(id);
  }

  /** Jobs that are cancelled with a dependency, and whose own records don't say so yet. */
  public List<Job> cancelledByDependency() {
    return dependencies.cancelled();
  }

  /** The dependencies of a job that are not done yet; empty if it isn't held. */
  public Collection<String> openDependencies(String id) {
    return dependencies.openDependencies(id);
  }

  /** Grows with every change. */
  public long changeCount() {
    return changeCount;
  }

  /** Applies a change of a job's record; a null entry says that the record is gone. */
  public void onChange(String key, Entry entry) {
    String id = key.substring(Job.KEY_PREFIX.length());
    changeCount++;
    Job before = active.remove(id);
    Job now = entry == null ? null : JobRecordCodec.decode(id, entry);
    dependencies.remove(id);
    if (now == null) {
      finished.remove(id);
      listener.onJobChange(before, null);
    } else if (now.active()) {
      List<Job> released = new ArrayList<>();
      dependencies.add(now, released);
      released.forEach(job -> activate(before, job));
    } else {
      finished.put(id, now);
      listener.onJobChange(before, now);
      List<Job> released = new ArrayList<>();
      dependencies.onFinished(id, released);
      released.forEach(job -> activate(null, job));
    }
  }

  private void activate(Job before, Job job) {
    active.put(job.id(), job);
    listener.onJobChange(before, job);
  }
}
