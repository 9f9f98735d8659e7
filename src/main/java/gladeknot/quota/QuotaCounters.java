package gladeknot.quota;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts quota events since the controller started, and logs the counts at intervals. */
final class QuotaCounters {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaCounters.class);
  private static final long LOG_INTERVAL_MICROS = 60_000_000;

  /** The counted events. */
  enum Event {
    /** A slice's starts were dropped because the share did not cover them at the commit. */
    STARTS_REFUSED,
    /** A start that a former owner committed was not repeated because the share was exceeded. */
    RUNS_WITHHELD,
    TRANSFERS_STARTED,
    TRANSFERS_COMMITTED,
    /** A change of a team's record was not committed, because its preconditions no longer held. */
    CHANGES_FAILED,
    /** A share was corrected because it was unproven or the shares did not add up to the limit. */
    CORRECTIONS,
    /** A shard was found to use more than its share. */
    SHARE_VIOLATIONS,
    /** A team's shares were found to add up to more than its limit, or to be unproven. */
    RECORD_VIOLATIONS
  }

  private final Map<Event, Long> counts = new EnumMap<>(Event.class);
  private Map<Event, Long> logged = Map.of();
  private long nextLogMicros;

  void count(Event event) {
    counts.merge(event, 1L, Long::sum);
  }

  long get(Event event) {
    return counts.getOrDefault(event, 0L);
  }

  /** Logs the counts if a log line is due and they have changed. */
  void tick(long nowMicros) {
    if (nowMicros < nextLogMicros) {
      return;
    }
    nextLogMicros = nowMicros + LOG_INTERVAL_MICROS;
    if (!counts.equals(logged)) {
      logged = Map.copyOf(counts);
      LOG.info("quota counters counts={}", counts);
    }
  }
}
