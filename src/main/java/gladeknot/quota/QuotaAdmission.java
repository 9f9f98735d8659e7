package gladeknot.quota;

import gladeknot.commit.StartAdmission;
import gladeknot.tasks.Slice;
import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Asks the ledger once more when starts are committed, and has awaited ends committed at once. */
final class QuotaAdmission implements StartAdmission {
  private static final Logger LOG = LoggerFactory.getLogger(QuotaAdmission.class);

  private final QuotaLedger ledger;
  private final ShardDeficits deficits;
  private final QuotaCounters counters;

  /** What was asked of the ledger. */
  private record Question(String team, int shard, boolean withGpus) {}

  /** What the present batch may contain: what it leaves out only makes more available. */
  private final Set<Question> covered = new HashSet<>();

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
    Question question = new Question(slice.team(), slice.shard(), slice.gpus() > 0);
    if (covered.contains(question)) {
      return true;
    }
    boolean admitted = ledger.coversStarts(slice);
    if (admitted) {
      covered.add(question);
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
