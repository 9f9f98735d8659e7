package gladeknot.quota;

import gladeknot.commit.StartAdmission;
import gladeknot.tasks.Slice;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks the ledger once more when starts are committed, and has awaited ends committed at once. */
final class QuotaAdmission implements StartAdmission {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaAdmission.class);

  private final QuotaLedger ledger;
  private final ShardDeficits deficits;
  private final QuotaCounters counters;

  /** The answers for the present batch: what it leaves out only makes more available. */
  private final Map<TeamShard, Boolean> covered = new HashMap<>();

  QuotaAdmission(QuotaLedger ledger, ShardDeficits deficits, QuotaCounters counters) {
    this.ledger = ledger;
    this.deficits = deficits;
    this.counters = counters;
  }

  @Override
  public void beginBatch() {
    covered.clear();
  }

  @Override
  public boolean admits(Slice slice) {
    TeamShard key = new TeamShard(slice.team(), slice.shard());
    if (covered.getOrDefault(key, false)) {
      return true;
    }
    boolean admitted = ledger.coversStarts(slice);
    if (admitted) {
      covered.put(key, true);
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
