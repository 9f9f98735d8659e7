package gladeknot.connectivity;

import com.google.common.collect.EvictingQueue;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each change of a shard's level of authority once, and keeps the last changes. */
final class AuthorityLog {
  private static final Logger LOG = LoggerFactory.getLogger(AuthorityLog.class);

  /** How many changes are kept for the status. */
  private static final int KEPT = 10;

  /** One change, by the time of day. */
  record Change(long wallMicros, int shard, AuthorityLevel from, AuthorityLevel to, String cause) {}

  private final Map<Integer, AuthorityLevel> levels = new HashMap<>();
  private final EvictingQueue<Change> changes = EvictingQueue.create(KEPT);

  /** Observes one shard's level now. */
  void observe(int shard, Authority authority, long wallMicros) {
    AuthorityLevel level = authority.level(shard);
    AuthorityLevel before = levels.getOrDefault(shard, AuthorityLevel.RELINQUISHED);
    if (before == level) {
      return;
    }
    levels.put(shard, level);
    String cause = authority.cause(shard);
    LOG.info(
        "authority for shard {}: {} after {}{}",
        shard,
        level.word(),
        before.word(),
        cause.isEmpty() ? "" : "; " + cause);
    changes.add(new Change(wallMicros, shard, before, level, cause));
  }

  /** The last changes, the newest last. */
  List<Change> last() {
    return List.copyOf(changes);
  }
}
