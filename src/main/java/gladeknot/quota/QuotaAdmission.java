package gladeknot.quota;

import gladeknot.commit.StartAdmission;
import gladeknot.tasks.Slice;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks starts against the ledger again when they are committed, and has ends for which a team's
 * deficit waits committed at once.
 */
final class QuotaAdmission implements StartAdmission {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaAdmission.class);

  private final QuotaLedger ledger;
  private final ShardDeficits deficits;
  private final QuotaCounters counters;

  /** The starts that the ledger treats alike within one batch. */
  private record CheckKey(String team, int shard, boolean withGpus) {}

  /**
   * Checks that the ledger has passed for the current batch. They hold for the whole batch, because
   * starts that the batch leaves out only make more quota available.
   */
  private final Set<CheckKey> passedChecks = new HashSet<>();

  QuotaAdmission(QuotaLedger ledger, ShardDeficits deficits, QuotaCounters counters) {
    this.ledger = ledger;
    this.deficits = deficits;
    this.counters = counters;
  }

  @Override
  public void beginBatch() {
    passedChecks.clear();
  }

  @Override
  public boolean admits(Slice slice) {
    CheckKey checkKey = new CheckKey(slice.team(), slice.shard(), slice.gpus() > 0);
    if (passedChecks.contains(checkKey)) {
      return true;
    }
    boolean admitted = ledger.coversStarts(slice);
    if (admitted) {
      passedChecks.add(checkKey);
    } else {
      counters.count(QuotaCounters.Event.STARTS_REFUSED);
      LOG.info(
          "quota refused job={} team={} shard={} share={} used={} pending={} revision={}",
          slice.job(),
          slice.team(),
          slice.shard(),
          ledger.share(slice.team(), slice.shard()),
          ledger.usage(slice.team(), slice.shard()),
          ledger.pendingTransfer(slice.team(), slice.shard()),
          ledger.recordRevision(slice.team()));
    }
    return admitted;
  }

  @Override
  public boolean awaitsEnds(Slice slice) {
    return deficits.containsAnywhere(slice.team());
  }
}
