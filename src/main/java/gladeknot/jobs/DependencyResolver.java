package gladeknot.jobs;

import gladeknot.state.StateStore;
import java.util.HashSet;
import java.util.Set;

/**
 * Looks up dependencies of held jobs that the registry does not know: they finished before this
 * controller started, or so long ago that the registry has dropped them.
 */
public final class DependencyResolver {
  private static final long INTERVAL_MICROS = 200_000;

  private final StateStore stateStore;
  private final JobRegistry jobs;
  private final JobLookup lookup;
  private final Set<String> inProgress = new HashSet<>();
  private long nextMicros;

  /** Creates a resolver for the registry's jobs. */
  public DependencyResolver(StateStore stateStore, JobRegistry jobs) {
    this.stateStore = stateStore;
    this.jobs = jobs;
    this.lookup = new JobLookup(stateStore, jobs);
  }

  /** Starts the lookups that are due. A lookup without a result is repeated. */
  public void tick(long nowMicros) {
    if (nowMicros < nextMicros || !stateStore.loaded()) {
      return;
    }
    nextMicros = nowMicros + INTERVAL_MICROS;
    for (String id : jobs.unknownDependencies()) {
      if (inProgress.add(id)) {
        lookup.lookUp(id, result -> inProgress.remove(id));
      }
    }
  }
}
