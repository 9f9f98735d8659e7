package gladeknot.state;

import java.util.ArrayDeque;
import java.util.Queue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures how far the watch is behind this controller's own commits, which the cache reflects at
 * once. While the watch is behind, the cache may lack earlier commits of other controllers.
 */
public final class CacheLag {
  private static final Logger LOG = LoggerFactory.getLogger(CacheLag.class);
  private static final long LOG_INTERVAL_MICROS = 60_000_000;

  private record OwnCommit(long revision, long committedMicros) {}

  /** Commits of this controller that the watch has not reached, the oldest first. */
  private final Queue<OwnCommit> pendingCommits = new ArrayDeque<>();

  private long revision;
  private long newestCommit;
  private long longestMicros;
  private long loggedMicros;
  private long nextLogMicros;
  private long nowMicros;

  /**
   * Advances the time. Logs the longest lag if it has changed, at most once per {@link
   * #LOG_INTERVAL_MICROS}.
   */
  void tick(long currentMicros) {
    nowMicros = currentMicros;
    if (currentMicros < nextLogMicros || longestMicros() == loggedMicros) {
      return;
    }
    nextLogMicros = currentMicros + LOG_INTERVAL_MICROS;
    loggedMicros = longestMicros();
    LOG.info(
        "copy lag longest_ms={} revision={} newest_commit={}",
        loggedMicros / 1000,
        revision,
        newestCommit);
  }

  /** Records the revision of a commit of this controller, from the reply to the transaction. */
  void onCommitted(long commitRevision) {
    newestCommit = Math.max(newestCommit, commitRevision);
    if (commitRevision > revision) {
      pendingCommits.add(new OwnCommit(commitRevision, nowMicros));
    }
  }

  /** Records that the watch has reached a revision. */
  void onRevisionReached(long reachedRevision) {
    revision = reachedRevision;
    while (!pendingCommits.isEmpty() && pendingCommits.peek().revision() <= reachedRevision) {
      longestMicros = Math.max(longestMicros, nowMicros - pendingCommits.poll().committedMicros());
    }
  }

  /** Returns the revision that the watch has reached. */
  public long revision() {
    return revision;
  }

  /** Returns the revision of the newest commit of this controller. */
  public long newestCommit() {
    return newestCommit;
  }

  /** Returns the number of revisions that the watch is behind {@link #newestCommit}. */
  public long revisionsBehind() {
    return Math.max(0, newestCommit - revision);
  }

  /**
   * Returns the longest time that the watch has taken to reach a commit, including the oldest
   * commit that it has not reached yet.
   */
  public long longestMicros() {
    return pendingCommits.isEmpty()
        ? longestMicros
        : Math.max(longestMicros, nowMicros - pendingCommits.peek().committedMicros());
  }
}
