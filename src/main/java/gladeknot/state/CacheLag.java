package gladeknot.state;

import java.util.ArrayDeque;
import java.util.Queue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How far the watch is behind this controller's own commits, which show in the copy at once. As
 * long as it is, the copy may lack earlier commits of other controllers.
 */
public final class CacheLag {
  private static final Logger LOG = LoggerFactory.getLogger(CacheLag.class);
  private static final long LOG_INTERVAL_MICROS = 60_000_000;

  private record OwnCommit(long revision, long knownMicros) {}

  /** The own commits that the watch has not reached, the oldest first. */
  private final Queue<OwnCommit> unreached = new ArrayDeque<>();

  private long revision;
  private long newestCommit;
  private long longestMicros;
  private long loggedMicros;
  private long nextLogMicros;
  private long nowMicros;

  /** Advances the time; logs the longest lag when it has grown, at intervals. */
  void tick(long now) {
    nowMicros = now;
    if (now < nextLogMicros || longestMicros() == loggedMicros) {
      return;
    }
    nextLogMicros = now + LOG_INTERVAL_MICROS;
    loggedMicros = longestMicros();
    LOG.info(
        "copy lag longest_ms={} revision={} newest_commit={}",
        loggedMicros / 1000,
        revision,
        newestCommit);
  }

  /** A transaction of this controller was committed at a revision, as its reply says. */
  void onCommitted(long commitRevision) {
    newestCommit = Math.max(newestCommit, commitRevision);
    if (commitRevision > revision) {
      unreached.add(new OwnCommit(commitRevision, nowMicros));
    }
  }

  /** The watch has reached a revision. */
  void onRevisionReached(long reachedRevision) {
    revision = reachedRevision;
    while (!unreached.isEmpty() && unreached.peek().revision() <= reachedRevision) {
      longestMicros = Math.max(longestMicros, nowMicros - unreached.poll().knownMicros());
    }
  }

  /** The revision that the watch has reached. */
  public long revision() {
    return revision;
  }

  /** The revision of the newest commit of this controller. */
  public long newestCommit() {
    return newestCommit;
  }

  /** How many revisions the watch is behind that commit. */
  public long revisionsBehind() {
    return Math.max(0, newestCommit - revision);
  }

  /** The longest time that the watch has taken to reach a commit, the present one included. */
  public long longestMicros() {
    return unreached.isEmpty()
        ? longestMicros
        : Math.max(longestMicros, nowMicros - unreached.peek().knownMicros());
  }
}
