package gladeknot.jobs;

import gladeknot.state.Entry;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The unfinished jobs, as shown by the watch cache, and the finished jobs that were used last.
 *
 * <p>Other finished jobs are not known here, see {@link JobLookup}. Memory therefore grows with the
 * unfinished jobs and not with the finished ones.
 *
 * <p>A job with dependencies that are not completed is <em>held</em> and not among the active jobs.
 * Placement and scale-out don't see it before all of its dependencies are completed. A job that
 * depends on a cancelled job, directly or indirectly, counts as cancelled as soon as the cache
 * shows that cancellation, even if the job's own record does not show it yet.
 */
public final class JobRegistry {
  /** Receives jobs that become active or finish. */
  public interface Listener {
    /**
     * Handles a change of a job. {@code before} is null if the job was not active before, {@code
     * now} if its record was deleted.
     */
    void onJobChange(Job before, Job now);
  }

  private final Map<String, Job> active = new LinkedHashMap<>();
  private final FinishedJobCache finished = new FinishedJobCache();
  private final DependencyGraph dependencies = new DependencyGraph(this::finished);
  private final Listener listener;
  private long changeCount;

  /** Creates an empty registry that reports changes to the listener. */
  public JobRegistry(Listener listener) {
    this.listener = listener;
  }

  /** Returns an active job; null if the job is unknown, held or finished. */
  public Job active(String id) {
    return active.get(id);
  }

  /** Returns the active jobs, in the order in which they became active. */
  public Collection<Job> active() {
    return active.values();
  }

  /** Returns the jobs that are held by their dependencies. */
  public Collection<Job> held() {
    return dependencies.held();
  }

  /**
   * Returns a job that is neither completed nor cancelled, held or not; null if there is no such
   * job.
   */
  public Job unfinished(String id) {
    Job job = active.get(id);
    return job != null ? job : dependencies.held(id);
  }

  /**
   * Returns a job that is completed, or cancelled directly or because of a dependency; null if it
   * is neither, or finished and not known here.
   */
  public Job finished(String id) {
    Job job = finished.get(id);
    return job != null ? job : dependencies.cancelled(id);
  }

  /** Returns whether a job is known to be finished; false for many finished jobs. */
  boolean isFinished(String id) {
    return finished(id) != null;
  }

  /** Returns whether a job is known to be accepted; false for many finished jobs. */
  public boolean isKnown(String id) {
    return unfinished(id) != null || isFinished(id);
  }

  /** Returns the jobs that are cancelled because of a dependency and have no final record yet. */
  public List<Job> cancelledByDependency() {
    return dependencies.cancelled();
  }

  /** Returns the dependencies of a job that are not completed yet; empty if the job isn't held. */
  public Collection<String> openDependencies(String id) {
    return dependencies.openDependencies(id);
  }

  /** Returns the ids of all jobs that unfinished jobs name as dependencies. */
  Set<String> dependenciesOfUnfinished() {
    Set<String> ids = new HashSet<>();
    active.values().forEach(job -> ids.addAll(job.spec().dependencies()));
    held().forEach(job -> ids.addAll(job.spec().dependencies()));
    return ids;
  }

  /** Returns a number that increases with every change. */
  public long changeCount() {
    return changeCount;
  }

  /** Applies a change of a job's record; a null entry means that the record was deleted. */
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
      finished.put(now);
      listener.onJobChange(before, now);
      releaseDependents(now);
    }
  }

  /** Applies the final record of a job that was read from the state service. */
  void onFinalRecordRead(Job job) {
    changeCount++;
    finished.put(job);
    releaseDependents(job);
  }

  private void releaseDependents(Job job) {
    List<Job> released = new ArrayList<>();
    dependencies.onFinished(job.id(), released);
    released.forEach(dependent -> activate(null, dependent));
  }

  private void activate(Job before, Job job) {
    active.put(job.id(), job);
    listener.onJobChange(before, job);
  }
}
