package gladeknot.connectivity;

import com.google.common.collect.EvictingQueue;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each change of a shard's authority level once and keeps the most recent changes. */
final class AuthorityLog {
  private static final Logger LOG = LoggerFactory.getLogger(AuthorityLog.class);

  /** Maximum number of changes kept for the status. */
  private static final int MAX_KEPT_CHANGES = 10;

  /** A change of a shard's level; {@code wallMicros} is the time of day. */
  record Change(long wallMicros, int shard, AuthorityLevel from, AuthorityLevel to, String cause) {}

  private final Map<Integer, AuthorityLevel> levels = new HashMap<>();
  private final EvictingQueue<Change> changes = EvictingQueue.create(MAX_KEPT_CHANGES);

  /** Records the current level of a shard, and logs it if it has changed. */
  void observe(int shard, Authority authority, long wallMicros) {
    AuthorityLevel level = authority.level(shard);
    AuthorityLevel previousLevel = levels.getOrDefault(shard, AuthorityLevel.RELINQUISHED);
    if (previousLevel == level) {
      return;
    }
    levels.put(shard, level);
    String cause = authority.cause(shard);
    LOG.info(
        "authority for shard {}: {} after {}{}",
        shard,
        level.displayName(),
        previousLevel.displayName(),
        cause.isEmpty() ? "" : "; " + cause);
    changes.add(new Change(wallMicros, shard, previousLevel, level, cause));
  }

  /** Returns the most recent changes, the newest last. */
  List<Change> recentChanges() {
    return List.copyOf(changes);
  }
}
